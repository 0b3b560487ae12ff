"""The product's policy: estimated wait and service by length on a bounded set of candidates."""

import math

import attrs

from ..lengths import LONG_CLASSES, LengthClass
from .cost import weighted_tokens
from .policy import PlacementDecision, Policy, no_endpoint
from .prediction import EXPECTED_SHARE
from .view import WARM_SECONDS

MAX_SCORED = 24
"""Largest pool of which every endpoint is scored."""

SAMPLED = 14
"""Endpoints drawn at random from a larger pool."""

CONTENTION = 2.0
"""Factor on the prefill of a short prompt beside a long one, which takes half of each step."""

OTHERS_WEIGHT = 0.3
"""Weight of the time that a request's prefill takes from each answer under way."""

LATE_SHARE = 0.75
"""Share of its time left that a medium prompt may need elsewhere before it goes to an endpoint
that is kept for short ones."""

MEMORY_SECONDS = 30.0
"""Cost of lacking a whole engine's memory, in seconds."""

COLD_FACTOR = 2.0
"""Factor on the score of an endpoint that has just come back, fading as it warms up."""

RUNNING_SECONDS = 0.002
"""Cost that each running request adds to a score, in seconds."""

JITTER = 0.05
"""Share by which scores are changed at random, so that entries do not all choose alike."""


class LengthAware(Policy):
    """Places a request where its estimated time to the end is shortest.

    Part of the pool is kept for short prompts, so that they always find engines without long
    prefills.  Waits are estimated by class: engines run prefills in order of due
    time, so that a short prompt waits only for short ones ahead of it.
    """

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return `PlacementDecision` at the best-scored candidate, or a `Failure`."""
        pool = view.pool(work)
        if pool is None or not pool.members:
            return no_endpoint(work)
        matches = view.prefixes.match(work.blocks) if work.blocks else {}
        search = Search(Sized.of(work, view), view, matches, avoid, now, random)
        best = search.best_of(eligible(work, pool))
        if work.length_class == LengthClass.MEDIUM and search.is_late(best):
            best = search.best_of(pool.kept) or best
        if best is None:
            return self.last_resort(search.sized, eligible(work, pool), avoid)
        return search.sized.placed(best, matches.get(best.name, 0))

    def last_resort(self, sized, states, avoid):
        """Return the least loaded endpoint although it is slow or was tried before."""
        left = [state for state in states if state.name not in avoid] or states
        best = min(left, key=lambda state: (state.slowness.ratio, state.ahead))
        return sized.placed(best, 0)


def eligible(work, pool):
    """Return the endpoints that a request may go to in the first place."""
    return pool.members if work.length_class == LengthClass.SHORT else pool.common


@attrs.define(slots=True)
class Search:
    """The search for the endpoint of one request."""

    sized: "Sized"
    view: object
    matches: dict
    avoid: object
    now: float
    random: object

    def best_of(self, states):
        """Return the best-scored usable one of a bounded number of `states`, or None."""
        best = None
        best_score = math.inf
        draw = self.random.random
        for state in self.candidates(states):
            if state.name in self.avoid or not state.slowness.may_use(self.now):
                continue
            score = self.sized.score(state, self.matches.get(state.name, 0), self.now)
            score *= 1.0 + JITTER * draw()
            if score < best_score:
                best = state
                best_score = score
        return best

    def candidates(self, states):
        """Return all of a few, else a sample and the owners of the prompt's prefix."""
        count = len(states)
        if count <= MAX_SCORED:
            return states
        draw = self.random.random
        sample = [states[int(draw() * count)] for _ in range(SAMPLED)]
        drawn = {id(state): state for state in sample}
        kept = states[-1].kept
        for name in self.matches:
            state = self.view.endpoints.get(name)
            if state is None or not state.usable or self.sized.work.model not in state.models:
                continue
            if kept or not state.kept:
                drawn[id(state)] = state
        return list(drawn.values())

    def is_late(self, state):
        """Return whether too much of the time left would pass at `state`."""
        if state is None:
            return True
        placed = self.sized.placed(state, self.matches.get(state.name, 0))
        left = self.sized.work.deadline - self.now
        return placed.wait + placed.service > LATE_SHARE * left


@attrs.define(slots=True)
class Sized:
    """One request with what its estimates need, worked out once for all candidates."""

    work: object
    long: bool
    short: bool
    tokens: int
    output: float
    block: int

    @classmethod
    def of(cls, work, view):
        """Return the `Sized` of `work`."""
        return cls(
            work,
            work.length_class in LONG_CLASSES,
            work.length_class == LengthClass.SHORT,
            work.prompt_tokens,
            EXPECTED_SHARE * work.predicted_tokens,
            view.settings.lengths.block,
        )

    def uncached(self, matched):
        """Return the prompt tokens to be prefilled when `matched` blocks are cached."""
        return max(self.tokens - matched * self.block, min(1, self.tokens))

    def ahead(self, state):
        """Return the prompt tokens that are prefilled first; long ones let others pass."""
        return state.ahead if self.long else state.ahead - state.long_ahead

    def token_seconds(self, state):
        """Return the time of one prompt token, longer beside a long prefill."""
        if self.long or state.long_ahead <= 0.0:
            return state.token_seconds
        return CONTENTION * state.token_seconds

    def score(self, state, matched, now):
        """Return the score of a placement in seconds; the lowest one wins."""
        prefill = weighted_tokens(self.uncached(matched), self.tokens) + self.ahead(state)
        own = weighted_tokens(self.uncached(matched), self.tokens) * state.token_seconds
        score = prefill * self.token_seconds(state) + self.output * state.step_seconds
        # What is prefilled while the answer is generated delays its tokens.
        generation = self.output * state.step_seconds
        score += min(generation, state.ahead * state.token_seconds)
        # The prefill delays the tokens of every answer that is being generated.
        score += OTHERS_WEIGHT * own * state.running
        score += 2.0 * state.delay + RUNNING_SECONDS * state.running
        lacking = self.tokens + self.work.predicted_tokens - state.memory_free
        if lacking > 0 and state.memory_total:
            score += MEMORY_SECONDS * lacking / state.memory_total
        if now < state.warm_at:
            score *= 1.0 + COLD_FACTOR * (state.warm_at - now) / WARM_SECONDS
        # Being faster than expected is no reason to prefer an endpoint: the others would never
        # be tried, and their estimates never corrected.
        return score * max(1.0, state.slowness.ratio)

    def placed(self, state, matched):
        """Return `PlacementDecision` at `state` with the estimated times there."""
        seconds = self.token_seconds(state)
        uncached = self.uncached(matched)
        ahead = self.ahead(state)
        wait = ahead * seconds
        prefill = weighted_tokens(uncached, self.tokens) * seconds
        expected = wait + prefill + state.step_seconds
        service = prefill + self.output * state.step_seconds
        name = state.name
        return PlacementDecision(
            name, self.work.priority, uncached, wait, expected, service, ahead
        )
