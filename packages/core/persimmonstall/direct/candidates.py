"""Endpoints that a call could be sent to, in the order in which they are looked at."""

import functools
import itertools

import attrs
import xxhash

MAX_RANKS = 4096
"""Number of ranks that are cached, so that they are not hashed for each call."""


@attrs.define
class Candidate:
    """An endpoint that a call could be sent to.

    `rank` is its place in the order, from 0 to 1.  Short prompts prefer low ranks, parts of long
    prompts high ones.  `surcharge` is what makes it worse than its load says, in seconds of
    latency; `way` is the part of it that is due to the way to another data centre.
    """

    endpoint: object
    load: object
    rank: float
    failure_score: float
    surcharge: float = 0.0
    way: float = 0.0


class RankedCandidates:
    """Endpoints in rank order, made `Candidate`s where they are looked at; a load costs time."""

    def __init__(self, placer, routed, endpoints, now):
        self.placer = placer
        self.routed = routed
        self.endpoints = endpoints
        self.now = now

    def candidate(self, endpoint):
        """Return an endpoint as a `Candidate`."""
        return self.placer.candidate(self.routed, endpoint, self.now)

    def count_running(self):
        """Return the number of attempts in flight, of all services."""
        return len(self.placer.load_tracker.attempts)

    def with_fewer_than(self, slots):
        """Yield the endpoints with fewer than `slots` calls in flight."""
        count_in_flight = self.placer.load_tracker.count_in_flight
        for endpoint in self.endpoints:
            if count_in_flight(endpoint.name) < slots:
                yield endpoint

    def last_idle(self, count):
        """Return up to `count` endpoints without any work, the last ones in rank order."""
        is_idle = self.placer.load_tracker.is_idle
        idle = (endpoint for endpoint in reversed(self.endpoints) if is_idle(endpoint.name))
        return list(itertools.islice(idle, count))

    def sample(self, count, random, without=()):
        """Return the endpoints not in `without`, or `count` drawn at random if there are more."""
        excluded = {endpoint.name for endpoint in without}
        endpoints = [each for each in self.endpoints if each.name not in excluded]
        return random.sample(endpoints, count) if len(endpoints) > count else endpoints


@functools.lru_cache(maxsize=MAX_RANKS)
def rank_of(name, salt=""):
    """Return an endpoint's rank, from 0 to 1; entries with the same salt share the order."""
    return xxhash.xxh3_64_intdigest((salt + name).encode()) / 2**64
