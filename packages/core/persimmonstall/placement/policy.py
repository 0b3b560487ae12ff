"""Placement policies: which endpoint gets an attempt of a request."""

import abc

import attrs

from ..failures import Failure, Reason
from .cost import weighted_tokens

STEP = "place"


@attrs.frozen
class PlacementDecision:
    """Where an attempt goes; tokens and seconds.

    `expected` is the time to first token, `service` the time that the whole answer needs on
    top of `wait`, `ahead` the prompt tokens to be prefilled first.
    """

    endpoint: str
    priority: int
    uncached: int
    wait: float = 0.0
    expected: float = 0.0
    service: float = 0.0
    ahead: float = 0.0


class Policy(abc.ABC):
    """Chooses an endpoint; keeps only state of its own, never a socket or a clock."""

    @abc.abstractmethod
    def place(self, work, view, now, random, avoid=frozenset()):
        """Return `PlacementDecision`, or a `Failure`.

        `work` is a `messages.requests.Work`, `view` a `FleetView`, `avoid` the names of
        endpoints that were tried before.
        """

    def candidates(self, work, view, avoid):
        """Return the usable endpoints for `work` that are not in `avoid`, if there are any."""
        pool = view.pool(work)
        if pool is None:
            return []
        if not avoid:
            return pool.members
        return [state for state in pool.members if state.name not in avoid] or pool.members


def no_endpoint(work):
    """Return the failure that says that nothing serves `work`."""
    return Failure(Reason.NO_ENDPOINT, STEP, detail=work.service or work.model)


def plainly(work, view, state):
    """Return `PlacementDecision` at `state` with no regard to prefix caches."""
    expected = weighted_tokens(work.prompt_tokens, work.prompt_tokens) * state.token_seconds
    wait = state.ahead * state.token_seconds
    service = expected + work.predicted_tokens * state.step_seconds
    return PlacementDecision(
        state.name,
        work.priority,
        work.prompt_tokens,
        wait,
        wait + expected,
        service,
        state.ahead,
    )


class RoundRobin(Policy):
    """Baseline: each endpoint in turn."""

    def __init__(self):
        self.turns = {}

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return the next endpoint of the model."""
        found = self.candidates(work, view, avoid)
        if not found:
            return no_endpoint(work)
        key = (work.model, work.service)
        turn = self.turns.get(key, 0)
        self.turns[key] = turn + 1
        return plainly(work, view, found[turn % len(found)])


class LeastOutstanding(Policy):
    """Baseline: the endpoint with the fewest requests of this entry in flight."""

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return the endpoint with the fewest requests; ties are broken at random."""
        found = self.candidates(work, view, avoid)
        if not found:
            return no_endpoint(work)
        best = min(found, key=lambda state: (state.own_running, random.random()))
        return plainly(work, view, best)


class RandomTwo(Policy):
    """Baseline: of two endpoints at random, the one with fewer requests in flight."""

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return the less loaded of two."""
        found = self.candidates(work, view, avoid)
        if not found:
            return no_endpoint(work)
        first = random.choice(found)
        second = random.choice(found)
        best = first if first.own_running <= second.own_running else second
        return plainly(work, view, best)
