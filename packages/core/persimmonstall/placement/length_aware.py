"""The product's policy: estimated wait and service by length on a bounded set of candidates."""

import math

import attrs

from ..lengths import LONG_CLASSES, LengthClass
from .cost import weighted_tokens
from .policy import Placed, Policy, no_endpoint
from .prediction import EXPECTED_SHARE
from .view import WARM_SECONDS

MOST_SCORED = 24
"""Largest pool of which every endpoint is scored."""

SAMPLED = 14
"""Endpoints drawn at random from a larger pool."""

CONTENTION = 2.0
"""Factor on the prefill of a short prompt beside a long one, which takes half of each step."""

OTHERS_WEIGHT = 0.3
"""Weight of the time that a request's prefill takes from each answer under way."""

KEPT_SHARE = 0.9
"""Cost of taking another than a short prompt to an endpoint kept for short ones, as a share
of the request's time left: it goes there rather than miss its deadline elsewhere."""

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

    Long prompts go only to the roomy part of the pool, so that short ones always find engines
    without long prefills.  Waits are estimated by class: engines run prefills in order of due
    time, so that a short prompt waits only for short ones ahead of it.
    """

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return `Placed` at the best-scored candidate, or a `Failure`."""
        pool = view.pool(work)
        if pool is None or not pool.members:
            return no_endpoint(work)
        long = work.length_class in LONG_CLASSES
        eligible = pool.roomy if long else pool.members
        matches = view.prefixes.match(work.blocks) if work.blocks else {}
        sized = Sized.of(work, view, long)
        best = None
        best_score = math.inf
        for state in draw(eligible, matches, view, work, random):
            if state.name in avoid or not state.slowness.may_use(now):
                continue
            score = sized.score(state, matches.get(state.name, 0), now)
            if not sized.short and state in pool.kept:
                score += KEPT_SHARE * (work.deadline - now)
            score *= 1.0 + JITTER * random.random()
            if score < best_score:
                best = state
                best_score = score
        if best is None:
            return self.last_resort(sized, pool, avoid)
        return sized.placed(best, matches.get(best.name, 0))

    def last_resort(self, sized, pool, avoid):
        """Return the least loaded endpoint although it is slow or was tried before."""
        left = [state for state in pool.members if state.name not in avoid] or pool.members
        best = min(left, key=lambda state: (state.slowness.ratio, state.ahead))
        return sized.placed(best, 0)


def draw(eligible, matches, view, work, random):
    """Return the candidates: all of a small pool, else a sample and the owners of the prefix."""
    count = len(eligible)
    if count <= MOST_SCORED:
        return eligible
    draw_one = random.random
    drawn = {
        id(state): state for state in [eligible[int(draw_one() * count)] for _ in range(SAMPLED)]
    }
    for name in matches:
        state = view.endpoints.get(name)
        if state is not None and state.usable and work.model in state.models:
            drawn[id(state)] = state
    return list(drawn.values())


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
    def of(cls, work, view, long):
        """Return the `Sized` of `work`."""
        return cls(
            work,
            long,
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
        """Return `Placed` at `state` with the estimated times there."""
        seconds = self.token_seconds(state)
        uncached = self.uncached(matched)
        ahead = self.ahead(state)
        wait = ahead * seconds
        prefill = weighted_tokens(uncached, self.tokens) * seconds
        expected = wait + prefill + state.step_seconds
        service = prefill + self.output * state.step_seconds
        name = state.name
        return Placed(name, self.work.priority, uncached, wait, expected, service, ahead)
