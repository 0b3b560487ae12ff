"""Placement policies: the choice of the endpoint for an attempt of a request."""

import abc

import attrs

from ..failures import Failure, Reason
from .cost import weighted_tokens

STEP = "place"


@attrs.frozen
class PlacementDecision:
    """Endpoint chosen for an attempt, with estimates in tokens and seconds.

    `expected` is the time to first token, `service` the time from the end of `wait` to the end
    of the answer, `ahead` the prompt tokens to be prefilled before this request.
    """

    endpoint: str
    priority: int
    uncached: int
    wait: float = 0.0
    expected: float = 0.0
    service: float = 0.0
    ahead: float = 0.0


class Policy(abc.ABC):
    """Base class of placement policies; holds no socket and no clock."""

    @abc.abstractmethod
    def place(self, work, view, now, random, avoided=frozenset()):
        """Return a `PlacementDecision`, or a `Failure`.

        `work` is a `messages.requests.Work`, `view` a `FleetView`, `avoided` the names of
        endpoints that were already tried.
        """

    def candidates(self, work, view, avoided):
        """Return the usable endpoints, without those in `avoided` if others are left."""
        pool = view.pool(work)
        if pool is None:
            return []
        if not avoided:
            return pool.members
        return [state for state in pool.members if state.name not in avoided] or pool.members


def no_endpoint(work):
    """Return the `Failure` for `work` that no endpoint serves."""
    return Failure(Reason.NO_ENDPOINT, STEP, detail=work.service or work.model)


def placed_uncached(work, view, state):
    """Return the `PlacementDecision` for `state`, assuming that none of the prompt is cached."""
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


class SimplePolicy(Policy):
    """Base class of the policies that choose by load only, without regard to cached prefixes."""

    @abc.abstractmethod
    def choose(self, work, found, random):
        """Return one of the `EndpointState`s in `found`, which is not empty."""

    def place(self, work, view, now, random, avoided=frozenset()):
        """Return the placement at the chosen endpoint of the model or service."""
        found = self.candidates(work, view, avoided)
        if not found:
            return no_endpoint(work)
        return placed_uncached(work, view, self.choose(work, found, random))


class RoundRobin(SimplePolicy):
    """Baseline: the endpoints of a pool in turn."""

    def __init__(self):
        self.turns = {}

    def choose(self, work, found, random):
        """Return the next endpoint of the model or service."""
        key = (work.model, work.service)
        turn = self.turns.get(key, 0)
        self.turns[key] = turn + 1
        return found[turn % len(found)]


class LeastOutstanding(SimplePolicy):
    """Baseline: the endpoint with the fewest requests in flight from this entry."""

    def choose(self, work, found, random):
        """Return the endpoint with the fewest requests in flight; ties are broken at random."""
        return min(found, key=lambda state: (state.own_running, random.random()))


class RandomTwo(SimplePolicy):
    """Baseline: the less loaded of two endpoints chosen at random (power of two choices)."""

    def choose(self, work, found, random):
        """Return the one of two random endpoints with fewer requests in flight."""
        first = random.choice(found)
        second = random.choice(found)
        return first if first.own_running <= second.own_running else second
