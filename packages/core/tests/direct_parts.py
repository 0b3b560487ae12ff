"""Objects of direct mode that several tests use."""

import attrs

from persimmonstall.direct.failure_scores import FailureScores
from persimmonstall.direct.fleet import Fleet
from persimmonstall.direct.loads import LoadTracker
from persimmonstall.direct.messages import (
    Call,
    Endpoint,
    Repeat,
    Route,
    RoutedCall,
    Service,
    Share,
)
from persimmonstall.direct.placing import Placer
from persimmonstall.direct.request_limits import RequestLimits
from persimmonstall_standins.engine_profile import ENGINE_PROFILE

LLM = Service("llm", engine=ENGINE_PROFILE)
PLAIN = Service("plain")
SHORT = Route(
    "short",
    "h",
    "/s/",
    (Share("llm"),),
    streaming=True,
    resumable=True,
    timeout=10.0,
    objective=0.3,
    gap_objective=0.25,
    attempts=2,
    priority=1,
)
LONG = attrs.evolve(
    SHORT, name="long", prefix="/l/", objective=2.5, gap_objective=1.0, timeout=15.0
)
NON_REPEATABLE = Route("filing", "h", "/f/", (Share("plain"),), timeout=0.8, objective=0.15)
REPEATABLE = attrs.evolve(
    NON_REPEATABLE, name="reading", prefix="/r/", repeat=Repeat.ALLOWED, attempts=2
)


def make_call(
    call_id="c1",
    tokens=5000,
    max_output_tokens=1300,
    target="/s/x",
    arrived=0.0,
    seconds_left=10.0,
):
    return Call(
        call_id,
        "POST",
        target,
        "h",
        (),
        b"body",
        arrived,
        arrived + seconds_left,
        prompt_tokens=tokens,
        max_output_tokens=max_output_tokens,
    )


def routed(route=SHORT, service=LLM, **options):
    return RoutedCall(make_call(**options), route, service)


def make_fleet(count, service="llm", slots=8):
    fleet = Fleet()
    for number in range(count):
        fleet.put(Endpoint(f"e{number}", service, f"10.0.0.{number}:80", born=1, slots=slots))
    return fleet


def make_placer(count=23, service="llm", slots=8):
    fleet = make_fleet(count, service, slots)
    return Placer(fleet, LoadTracker(), FailureScores(), RequestLimits())
