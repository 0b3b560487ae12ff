"""Decides which prompts are divided and which engines may hold their parts."""

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory import segments
from persimmonstall.memory.long_prompt import PartState
from persimmonstall.placement.cost import PrefillCost, weighted_tokens

STEP = "long_prompt"

INITIAL_COST = PrefillCost(tokens=1000.0, seconds=0.02, seconds_per_token=1.0 / 50_000.0)
"""Assumed prefill cost until a part has been prefilled."""


def weighted_part_tokens(assignment):
    """Return the prefill work of an `Assignment`, in weighted tokens."""
    return weighted_tokens(assignment.end - assignment.start, assignment.end)


class DivisionPlanner:
    """Plans divisions from the engines' load reports.

    `loads` holds the latest load of each endpoint and `cost` the learned cost of prefills.
    """

    def __init__(self, entry):
        self.entry = entry
        self.loads = {}
        self.cost = attrs.evolve(INITIAL_COST)

    def on_loads(self, loads):
        """Store the latest load of each endpoint."""
        for load in loads:
            self.loads[load.endpoint] = load

    def engines(self, work):
        """Return the memory of every engine that serves the model of `work`."""
        return [
            segments.EngineMemory(
                load.endpoint, load.memory_total - load.memory_used, load.memory_total
            )
            for load in self.loads.values()
            if work.model in load.models and load.memory_total
        ]

    def eligible(self, work):
        """Return the memory of the engines that may hold parts of long prompts."""
        return segments.eligible(self.engines(work), self.entry.settings.placing.long_share)

    def reachable(self, engines):
        """Return those of `engines` that are reachable now."""
        return [engine for engine in engines if self.is_reachable(engine.endpoint)]

    def is_reachable(self, endpoint):
        """Whether an endpoint has an open link and accepts new work."""
        link = self.entry.links.link_to(endpoint)
        leaving = endpoint in self.entry.membership.view.leaving
        return bool(link and link.ready) and not leaving and not self.loads[endpoint].leaving

    def needs_division(self, work):
        """Whether the prompt of a request must be divided."""
        if work.service:
            return False
        engines = self.engines(work)
        tokens = work.prompt_tokens + work.predicted_tokens
        if not segments.needs_division(tokens, engines):
            return False
        if tokens > max(engine.total for engine in engines):
            return True
        possible = segments.divide(work.prompt_tokens, work.predicted_tokens, self.eligible(work))
        return bool(possible) or possible.reason is Reason.BUSY

    def plan(self, division):
        """Return the `Assignment`s of the prompt, or a `Failure` if there is not enough memory.

        Its reason is not PROMPT_TOO_LONG if the prompt would fit once all eligible engines are
        reachable.
        """
        work = division.state.work
        eligible = self.eligible(work)
        output = max(work.predicted_tokens, len(division.state.tokens))
        if_all_reachable = segments.divide(work.prompt_tokens, output, eligible)
        if not if_all_reachable and if_all_reachable.reason is Reason.PROMPT_TOO_LONG:
            return if_all_reachable
        reachable = self.reachable(eligible)
        if not reachable:
            return Failure(
                Reason.NO_ENDPOINT, STEP, detail="no engine for long prompts is reachable"
            )
        assignments = segments.divide(work.prompt_tokens, output, reachable, division.avoided)
        if not assignments and assignments.reason is Reason.PROMPT_TOO_LONG:
            return Failure(Reason.BUSY, STEP, detail="engines for long prompts are unreachable")
        return assignments

    def substitutes(self, division):
        """Return the memory of the reachable engines that may take over lost parts."""
        engines = self.reachable(self.eligible(division.state.work))
        avoided = division.avoided | division.prompt.lost_endpoints()
        return [engine for engine in engines if engine.endpoint not in avoided]

    def prefill_seconds(self, assignments):
        """Return the estimated time in seconds to prefill all parts in parallel."""
        tokens = max(weighted_part_tokens(assignment) for assignment in assignments)
        return tokens * self.cost.seconds_per_token

    def record_prefill(self, part):
        """Update the prefill cost from a part whose prefill is done; other parts are ignored."""
        if part and part.state is PartState.PREFILLING:
            tokens = weighted_part_tokens(part.assignment)
            self.cost.observe(tokens, self.entry.context.now() - part.requested_at)
