"""Engines that work slower than their figures are found by their streams and eased out."""

from collections import Counter

from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.direct.slowdowns import LAPSE_SECONDS, SAMPLES

from .direct_parts import LLM, make_placer, routed

SLOWNESS = 5.0


def watch(placer, name, times, now, count=SAMPLES, events=1):
    """Let this entry see pauses of a stream at an engine, `times` as long as predicted.

    Each ends with `events` events that are read together.  Return whether each changed the
    engine's standing.
    """
    placer.load_tracker.load_of(placer.fleet.endpoints[name], LLM, now)
    usual = placer.load_tracker.loads[name].expected_gap()
    return [placer.load_tracker.record_gap(name, times * usual, events, now) for _ in range(count)]


def engines_of(placer, count, now=0.0):
    """Return how many of `count` calls that come one by one go to each engine."""
    used = Counter()
    for number in range(count):
        placed = placer.place(routed(call_id=str(number)), now, f"f{number}")
        used[placed.request.endpoint.name] += 1
    return used


def test_slow_engine_gets_no_new_calls_and_is_probed_later():
    placer = make_placer(3)
    usual = engines_of(placer, 1)
    (first,) = usual
    watch(placer, first, SLOWNESS, 0.0)
    assert first not in engines_of(placer, 10, 0.1)
    assert engines_of(placer, 1, LAPSE_SECONDS + 0.1) == usual


def test_one_long_pause_does_not_make_an_engine_slow():
    placer = make_placer(3)
    usual = engines_of(placer, 1)
    (first,) = usual
    watch(placer, first, 1.0, 0.0)
    watch(placer, first, SLOWNESS, 0.1, count=SAMPLES - 1)
    assert engines_of(placer, 1, 0.2) == usual


def test_change_of_an_engines_standing_is_told_once():
    placer = make_placer(1)
    assert watch(placer, "e0", SLOWNESS, 0.0, count=SAMPLES + 2) == [
        False,
        False,
        True,
        False,
        False,
    ]
    assert watch(placer, "e0", 1.0, 0.1, count=2) == [True, False]


def test_entry_that_reads_late_does_not_take_engines_for_slow():
    placer = make_placer(3)
    usual = engines_of(placer, 1)
    (first,) = usual
    watch(placer, first, SLOWNESS, 0.0, events=5)
    assert engines_of(placer, 1, 0.1) == usual


def test_service_whose_engines_are_all_slow_is_still_used():
    placer = make_placer(3)
    for name in placer.fleet.endpoints:
        watch(placer, name, SLOWNESS, 0.0)
    assert sum(engines_of(placer, 4, 0.1).values()) == 4


def test_slow_engine_is_known_to_the_other_entries():
    placer, other = make_placer(3), make_placer(3)
    (first,) = engines_of(placer, 1)
    watch(placer, first, SLOWNESS, 0.0)
    other.load_tracker.slowdowns.merge_remote(placer.load_tracker.slowdowns.local_state(0.1), 0.1)
    assert first not in engines_of(other, 10, 0.2)


def test_pause_of_a_pass_that_reads_much_is_not_slowness():
    placer = make_placer(1)
    endpoint = placer.fleet.endpoints["e0"]
    placer.load_tracker.load_of(endpoint, LLM, 0.0)
    placer.load_tracker.begin(
        InFlightAttempt("w", (EndpointDemand("e0", 0.01, 1000, 2000),), started=True), 0.0
    )
    before = placer.load_tracker.loads["e0"].expected_gap()
    placer.load_tracker.begin(
        InFlightAttempt("l", (EndpointDemand("e0", 1.0, 0, 0, writes=False),)), 0.0
    )
    assert placer.load_tracker.loads["e0"].expected_gap() > 3 * before
