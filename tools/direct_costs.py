"""Benchmark of direct mode: processor time per placed call, by fleet size."""

import time
from collections import deque

import tabulate

from persimmonstall.direct.failure_scores import FailureScores
from persimmonstall.direct.fleet import Fleet
from persimmonstall.direct.loads import LoadTracker
from persimmonstall.direct.messages import (
    Call,
    Endpoint,
    Route,
    RoutedCall,
    Service,
    Share,
)
from persimmonstall.direct.placing import Placer
from persimmonstall.direct.request_limits import RequestLimits
from persimmonstall_standins.engine_profile import ENGINE_PROFILE

FLEET_SIZES = (21, 78, 195, 600)
KINDS = (("short", 5_000, 0.3, 0.25), ("long", 133_000, 2.5, 1.0))
CALLS = 300
CALLS_PER_ENDPOINT_SECOND = 1.2
IN_FLIGHT_PER_ENDPOINT = 2
MS_PER_SECOND = 1000.0


def make_placer(size):
    """Return a placer over `size` idle engines."""
    fleet = Fleet()
    for number in range(size):
        fleet.put(Endpoint(f"e{number}", "llm", f"10.0.0.{number}:80", slots=ENGINE_PROFILE.slots))
    return Placer(fleet, LoadTracker(), FailureScores(), RequestLimits())


def make_call(number, tokens, objective, gap, now):
    """Return a `RoutedCall` with a prompt of `tokens` tokens."""
    route = Route(
        "r",
        "h",
        "/",
        (Share("llm"),),
        streaming=True,
        resumable=True,
        objective=objective,
        gap_objective=gap,
    )
    call = Call(f"c{number}", "POST", "/", "h", (), b"", now, now + 10, "", tokens, 1300)
    return RoutedCall(call, route, Service("llm", engine=ENGINE_PROFILE))


def mean_placement_ms(size, tokens, objective, gap):
    """Return the mean processor time of a placement, in milliseconds.

    Up to IN_FLIGHT_PER_ENDPOINT calls per endpoint are in flight meanwhile.
    """
    placer = make_placer(size)
    in_flight = deque()
    cpu_seconds = 0.0
    for number in range(CALLS):
        now = number / (size * CALLS_PER_ENDPOINT_SECOND)
        call = make_call(number, tokens, objective, gap, now)
        start = time.process_time()
        placed = placer.place(call, now, f"f{number}")
        cpu_seconds += time.process_time() - start
        placer.load_tracker.begin(placed.attempt, now)
        in_flight.append(placed.attempt.name)
        if len(in_flight) > size * IN_FLIGHT_PER_ENDPOINT:
            placer.load_tracker.end(in_flight.popleft())
    return cpu_seconds / CALLS * MS_PER_SECOND


def table():
    """Return the table of results as text."""
    rows = [
        (size, kind, mean_placement_ms(size, tokens, objective, gap))
        for size in FLEET_SIZES
        for kind, tokens, objective, gap in KINDS
    ]
    headers = ("endpoints", "prompt", "ms per placement")
    return tabulate.tabulate(rows, headers, floatfmt=".2f", tablefmt="github")


if __name__ == "__main__":
    print(table())
