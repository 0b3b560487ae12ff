"""Length-aware placement: shortest estimated completion among a bounded set of candidates."""

import math

import attrs

from ..lengths import LONG_CLASSES, LengthClass
from .cost import weighted_tokens
from .policy import PlacementDecision, Policy, no_endpoint
from .prediction import EXPECTED_SHARE
from .view import WARM_UP_SECONDS

MAX_SCORED = 24
"""Size of the largest pool of which every endpoint is scored."""

SAMPLE_SIZE = 14
"""Endpoints sampled at random from a larger pool."""

CONTENTION = 2.0
"""Slowdown of a short prefill beside a long one, which takes half of each batch step."""

INTERFERENCE_WEIGHT = 0.3
"""Weight of the delay that a prefill causes to each answer being generated."""

LATE_SHARE = 0.75
"""Share of the remaining time that a medium prompt may need on common endpoints before it is
considered for those reserved for short prompts."""

MEMORY_PENALTY_SECONDS = 30.0
"""Score penalty for lacking the memory of a whole engine, in seconds."""

WARM_UP_PENALTY = 2.0
"""Relative score penalty of an endpoint that has just rejoined; falls to 0 during warm-up."""

RUNNING_PENALTY_SECONDS = 0.002
"""Score penalty per running request, in seconds."""

JITTER = 0.05
"""Largest random share added to a score, so that entries do not all choose the same endpoint."""


class LengthAware(Policy):
    """Places a request where its estimated completion time is shortest.

    Part of each pool is reserved for short prompts, so that they always find engines without
    long prefills.  Waits are estimated per length class: engines run prefills in order of due
    time, so that a short prompt waits only behind other short ones.
    """

    def place(self, work, view, now, random, avoided=frozenset()):
        """Return the `PlacementDecision` for the lowest-scored candidate, or a `Failure`."""
        pool = view.pool(work)
        if pool is None or not pool.members:
            return no_endpoint(work)
        matches = view.prefixes.match(work.blocks) if work.blocks else {}
        search = CandidateSearch(RequestCost.of(work, view), view, matches, avoided, now, random)
        best = search.best_of(eligible(work, pool))
        if work.length_class == LengthClass.MEDIUM and search.is_late(best):
            best = search.best_of(pool.reserved) or best
        if best is None:
            return self.fallback(search.cost, eligible(work, pool), avoided)
        return search.cost.placed(best, matches.get(best.name, 0))

    def fallback(self, cost, states, avoided):
        """Return the least slow, least loaded endpoint when no candidate may be used.

        Endpoints that were already tried are used only if there is no other.
        """
        left = [state for state in states if state.name not in avoided] or states
        best = min(left, key=lambda state: (state.slowness.ratio, state.ahead))
        return cost.placed(best, 0)


def eligible(work, pool):
    """Return the endpoints that a request is normally placed on."""
    return pool.members if work.length_class == LengthClass.SHORT else pool.common


@attrs.define(slots=True)
class CandidateSearch:
    """Search for the best endpoint for one request."""

    cost: "RequestCost"
    view: object
    matches: dict
    avoided: object
    now: float
    random: object

    def best_of(self, states):
        """Return the usable candidate among `states` with the lowest score, or None."""
        best = None
        best_score = math.inf
        draw = self.random.random
        for state in self.candidates(states):
            if state.name in self.avoided or not state.slowness.may_use(self.now):
                continue
            score = self.cost.score(state, self.matches.get(state.name, 0), self.now)
            score *= 1.0 + JITTER * draw()
            if score < best_score:
                best = state
                best_score = score
        return best

    def candidates(self, states):
        """Return all of `states` if few, else a sample plus those that cache the prefix."""
        count = len(states)
        if count <= MAX_SCORED:
            return states
        draw = self.random.random
        sample = [states[int(draw() * count)] for _ in range(SAMPLE_SIZE)]
        drawn = {id(state): state for state in sample}
        reserved = states[-1].reserved
        for name in self.matches:
            state = self.view.endpoints.get(name)
            if state is None or not state.usable or self.cost.work.model not in state.models:
                continue
            if reserved or not state.reserved:
                drawn[id(state)] = state
        return list(drawn.values())

    def is_late(self, state):
        """Return whether the request would take more than `LATE_SHARE` of its time at `state`."""
        if state is None:
            return True
        placed = self.cost.placed(state, self.matches.get(state.name, 0))
        left = self.cost.work.deadline - self.now
        return placed.wait + placed.service > LATE_SHARE * left


@attrs.define(slots=True)
class RequestCost:
    """Cost model of one request; whatever does not depend on the endpoint is computed once."""

    work: object
    long: bool
    short: bool
    tokens: int
    output: float
    block: int

    @classmethod
    def of(cls, work, view):
        """Return the `RequestCost` of `work`."""
        return cls(
            work,
            work.length_class in LONG_CLASSES,
            work.length_class == LengthClass.SHORT,
            work.prompt_tokens,
            EXPECTED_SHARE * work.predicted_tokens,
            view.settings.lengths.block,
        )

    def uncached(self, matched_blocks):
        """Return the prompt tokens to prefill when so many of the blocks are cached."""
        return max(self.tokens - matched_blocks * self.block, min(1, self.tokens))

    def ahead(self, state):
        """Return the prompt tokens that `state` prefills before this request.

        Those of long prompts count only for a long prompt; shorter ones overtake them.
        """
        return state.ahead if self.long else state.ahead - state.long_ahead

    def token_seconds(self, state):
        """Return the prefill time per prompt token, which is longer beside a long prefill."""
        if self.long or state.long_ahead <= 0.0:
            return state.token_seconds
        return CONTENTION * state.token_seconds

    def score(self, state, matched_blocks, now):
        """Return the score of a placement, in seconds; lower is better."""
        prefill = weighted_tokens(self.uncached(matched_blocks), self.tokens) + self.ahead(state)
        own = weighted_tokens(self.uncached(matched_blocks), self.tokens) * state.token_seconds
        score = prefill * self.token_seconds(state) + self.output * state.step_seconds
        # Prefills that run while the answer is generated delay its tokens.
        generation = self.output * state.step_seconds
        score += min(generation, state.ahead * state.token_seconds)
        # The request's own prefill delays every answer that is being generated.
        score += INTERFERENCE_WEIGHT * own * state.running
        score += 2.0 * state.delay + RUNNING_PENALTY_SECONDS * state.running
        missing_memory = self.tokens + self.work.predicted_tokens - state.memory_free
        if missing_memory > 0 and state.memory_total:
            score += MEMORY_PENALTY_SECONDS * missing_memory / state.memory_total
        if now < state.warm_until:
            score *= 1.0 + WARM_UP_PENALTY * (state.warm_until - now) / WARM_UP_SECONDS
        # A ratio below 1 gives no bonus: otherwise the other endpoints would never be tried and
        # their estimates never corrected.
        return score * max(1.0, state.slowness.ratio)

    def placed(self, state, matched_blocks):
        """Return the `PlacementDecision` for `state` with its estimated times."""
        seconds = self.token_seconds(state)
        uncached = self.uncached(matched_blocks)
        ahead = self.ahead(state)
        wait = ahead * seconds
        prefill = weighted_tokens(uncached, self.tokens) * seconds
        expected = wait + prefill + state.step_seconds
        service = prefill + self.output * state.step_seconds
        name = state.name
        return PlacementDecision(
            name, self.work.priority, uncached, wait, expected, service, ahead
        )
