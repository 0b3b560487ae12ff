"""Who is admitted, in which order and shared by whom, where more is asked than fits."""

import attrs
import pytest

from persimmonstall.direct.admission import SHORTAGE_SECONDS, Admission, WaitingCall
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.direct.urgency import urgency_of
from persimmonstall.direct.usage import OrganisationUsage
from persimmonstall.failures import Failure, Postponed

from .admitting_fleet import AdmittingFleet, of_organisation
from .contended_fleet import ContendedFleet
from .direct_parts import make_placer, routed
from .test_direct_contention import PROFILE, QUOTE, SERVICE, quote

ENGINES = 10
CAPACITY = 30.0
"""Quotes a second that the slots of these engines serve."""

SMALL = [f"small-{number}" for number in range(9)]


def ask(fleet, organisation, rate, start, end, priorities=(), priority=None):
    call = attrs.evolve(of_organisation(quote(), organisation, priority), priorities=priorities)
    return [fleet.ask(at, call) for at in fleet.arrivals(rate, start, end)]


def ask_half_each(fleet, total, end):
    """Let one organisation ask half of `total` calls a second, and nine small ones the rest."""
    ask(fleet, "large", total / 2, 0.0, end)
    for name in SMALL:
        ask(fleet, name, total / 2 / len(SMALL), 0.0, end)
    fleet.run(end + 15.0)
    return fleet.in_time_shares(lambda call: call.organisation)


@pytest.mark.parametrize("lag", [0.03, 0.1])
def test_one_organisation_with_half_of_the_traffic_pays_with_its_own_share(lag):
    """All were late alike: twice what fits waited at the engines, in the order of arrival."""
    fleet = AdmittingFleet(ENGINES, lag, PROFILE, entries=12)
    shares = ask_half_each(fleet, 2 * CAPACITY, 10.0)
    small = sorted(shares[name] for name in SMALL)
    assert sum(call.in_time for call in fleet.calls) >= 0.5 * CAPACITY * 10.0
    assert small[0] > shares["large"]
    assert sum(small) / len(small) >= 2 * shares["large"]


def test_without_admission_they_are_all_late():
    """The load of the test above is one that callers notice."""
    shares = ask_half_each(ContendedFleet(ENGINES, 0.03, PROFILE), 2 * CAPACITY, 10.0)
    assert max(shares.values()) < 0.25


def test_a_hundred_entries_share_by_views_of_300_ms():
    """The shares hold once two seconds of usage are known."""
    fleet = AdmittingFleet(ENGINES, 0.3, PROFILE, entries=100)
    ask_half_each(fleet, 2 * CAPACITY, 6.0)
    judged = [call for call in fleet.calls if call.asked > 2.0]
    large = [call.in_time for call in judged if call.organisation == "large"]
    small = [call.in_time for call in judged if call.organisation != "large"]
    assert sum(small) / len(small) > 1.2 * sum(large) / len(large)


def test_where_room_suffices_nobody_waits_and_nothing_is_sent():
    fleet = AdmittingFleet(ENGINES, 0.03, PROFILE)
    shares = ask_half_each(fleet, 0.5 * CAPACITY, 6.0)
    assert min(shares.values()) >= 0.95
    assert fleet.reports_sent == 0
    assert all(call.placed_at == call.asked for call in fleet.calls)


def test_unused_shares_go_to_whoever_asks():
    fleet = AdmittingFleet(ENGINES, 0.03, PROFILE, entries=12)
    calls = ask(fleet, "large", 1.5 * CAPACITY, 0.0, 8.0)
    ask(fleet, "small", 1.0, 0.0, 8.0)
    fleet.run(8.0)
    started = sum(call.placed_at is not None and call.placed_at < 8.0 for call in calls)
    assert started >= 0.8 * CAPACITY * 8.0


def test_callers_that_come_back_at_once_get_no_more_than_those_that_wait():
    fleet = AdmittingFleet(ENGINES, 0.03, PROFILE, entries=12, returns=8)
    fleet.impatient = {"impatient"}
    for name in ("impatient", "patient", "other"):
        ask(fleet, name, 0.6 * CAPACITY, 0.0, 8.0)
    fleet.run(8.0)
    placed = dict.fromkeys(("impatient", "patient", "other"), 0)
    for call in fleet.calls:
        placed[call.organisation] += call.placed_at is not None
    assert placed["impatient"] <= 1.1 * min(placed["patient"], placed["other"])


def test_room_that_is_halved_in_one_step_goes_to_the_higher_priority():
    """A third or half of the engines is gone in a moment."""
    fleet = AdmittingFleet(ENGINES, 0.03, PROFILE, entries=12)
    urgent = ask(fleet, "urgent", 0.3 * CAPACITY, 0.0, 10.0, (0, 1), 0)
    usual = ask(fleet, "usual", 0.5 * CAPACITY, 0.0, 10.0, (0, 1), 1)
    fleet.schedule(4.0, lambda at: fleet.lose_engines(ENGINES // 2))
    fleet.run(25.0)
    after = [call for call in urgent if call.asked > 6.0]
    assert sum(call.in_time for call in after) >= 0.7 * len(after)
    assert any(call.in_time for call in usual if call.asked > 6.0)


@pytest.fixture
def full():
    """Return the admission of an entry all of whose places are taken, as a call finds it."""
    placer = make_placer(2, slots=PROFILE.slots)
    for number in range(2 * PROFILE.slots):
        placed = placer.place(quote(), 0.0, f"f{number}")
        placer.load_tracker.begin(placed.attempt, 0.0)
    admission = Admission(placer, placer.random)
    admission.record_served(quote(), 1.2)
    return admission


def call_of(organisation, content="c", arrived=0.1, **options):
    call = of_organisation(quote(arrived=arrived, **options), organisation)
    return attrs.evolve(call, content=content)


def free(admission, count):
    for number in range(count):
        admission.placer.load_tracker.end(f"f{number}")


def test_call_waits_for_a_place_that_is_expected_in_time(full):
    waiting = full.decide(call_of("a"), 0.1)
    assert isinstance(waiting, WaitingCall)
    assert full.review(0.11) == []
    free(full, 2)
    assert [each.offered for each in full.review(0.12)] == [False]


def test_call_whose_place_does_not_come_is_offered_all_the_same(full):
    waiting = full.decide(call_of("a"), 0.1)
    assert waiting.until - 0.1 <= QUOTE.objective / 2
    assert [each.offered for each in full.review(waiting.until)] == [True]


def test_call_whose_turn_comes_too_late_is_refused_at_once_with_its_turn(full):
    full.record_served(quote(), 60.0)
    refused = [full.decide(call_of("a", f"c{n}"), 0.1) for n in range(3)]
    assert all(isinstance(each, Postponed) for each in refused)
    turns = [each.delay for each in refused]
    assert turns == sorted(set(turns))
    assert turns[0] > QUOTE.objective / 2


def test_turns_that_were_promised_in_an_earlier_shortage_hold_back_nobody(full):
    """Few of those that were refused may come back, and there were places since."""
    full.record_served(quote(), 60.0)
    turns = [full.decide(call_of("a", f"c{n}"), 0.1).delay for n in range(40)]
    later = 0.2 + SHORTAGE_SECONDS
    assert turns[-1] > 2 * SHORTAGE_SECONDS
    assert full.decide(call_of("b", "late", later), later).delay <= turns[0]


def test_call_that_comes_back_is_before_those_that_came_later(full):
    full.record_served(quote(), 60.0)
    refused = full.decide(call_of("a", "early"), 0.1)
    full.residence.clear()
    back = 0.1 + refused.delay
    later = full.decide(call_of("a", "later", back - 0.01), back - 0.01)
    returned = full.decide(call_of("a", "early", back), back)
    free(full, 1)
    full.usage.total.clear()
    assert full.order(returned.routed, returned.asked, back) < full.order(
        later.routed, later.asked, back
    )


def test_waiting_calls_of_an_entry_that_died_stop_counting(full):
    full.merge_waiting("10.0.0.9:80", [(1, 0.0)] * 50, 0.1)
    assert full.count_ahead(call_of("a"), 0.2, 0.2) == 25.0
    assert full.count_ahead(call_of("a"), 2.0, 2.0) == 0.0


def test_usage_is_the_same_in_any_order_of_the_reports_and_with_repeats():
    reports = [
        (1, [("a", 5.0, 9.0)]),
        (2, [("a", 7.0, 9.0), ("b", 1.0, 1.0)]),
        (3, [("b", 2.0, 2.0)]),
    ]
    for order in ([0, 1, 2], [2, 0, 1, 1], [1, 2, 0, 0], [2, 1, 0, 2]):
        usage = OrganisationUsage()
        for number, rates in [reports[each] for each in order]:
            usage.merge("x", 7, number, rates, 1.0)
        assert usage.rates("a", 1.0).admitted == pytest.approx(7.0)
        assert usage.rates("b", 1.0).admitted == pytest.approx(2.0)


def test_usage_of_an_entry_that_restarts_or_is_cut_decays():
    usage = OrganisationUsage()
    usage.merge("x", 7, 5, [("a", 8.0, 8.0)], 1.0)
    usage.merge("x", 8, 1, [("a", 1.0, 1.0)], 1.0)
    usage.merge("x", 7, 6, [("a", 9.0, 9.0)], 1.0)
    assert usage.rates("a", 1.0).admitted == pytest.approx(9.0)
    assert usage.rates("a", 31.0).admitted < 0.5
    usage.expire(200.0)
    assert not usage.total
    assert not usage.remote


def test_usage_is_bounded_in_organisations():
    usage = OrganisationUsage()
    for number in range(6300):
        usage.record_asked(f"o{number}", 1, 1.0, number * 0.001)
    assert len(usage.own) <= 513
    assert len(usage.own_rates(usage.own, 6.3)) <= 64


def test_malformed_report_is_a_failure():
    fleet = AdmittingFleet(1, 0.03, PROFILE, entries=1)
    report = fleet.entries[0].report
    for fields in ((), ("x", 1, 1, [("a",)], [], []), ("x", 1, 1, [], [("p", "q")], [])):
        assert isinstance(report.merge(fields, 0.0), Failure)


def test_urgency_follows_the_priority_before_the_objective():
    urgent, usual = (
        attrs.evolve(of_organisation(quote(), name, priority), priorities=(0, 1))
        for name, priority in (("u", 0), ("v", 1))
    )
    patient = attrs.evolve(urgent, route=attrs.evolve(QUOTE, objective=4.0))
    assert urgency_of(urgent) < urgency_of(patient) < urgency_of(usual)
    alike = attrs.evolve(usual, priorities=(1,))
    assert urgency_of(alike) == 3
    assert urgency_of(attrs.evolve(alike, route=patient.route)) == 5


def test_long_prompt_is_not_held_for_prefill_that_waits(full):
    """Prompts that are split were held for their whole patience while most slots were free."""
    free(full, 8)
    tracker = full.placer.load_tracker
    demands = tuple(EndpointDemand(f"e{n}", 1.0, generates=False) for n in range(2))
    tracker.begin(InFlightAttempt("parts", demands), 0.1)
    split = of_organisation(routed(QUOTE, SERVICE, tokens=20_000, arrived=0.1), "a")
    assert full.placer.is_split(split)
    assert full.decide(split, 0.1) is None


def test_calls_are_placed_at_once_where_the_settings_ask_for_no_admission(full):
    full.enabled = False
    assert full.decide(call_of("a"), 0.1) is None


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_report_of_an_endless_usage_is_a_failure(value):
    fleet = AdmittingFleet(1, 0.03, PROFILE, entries=1)
    report = fleet.entries[0].report
    assert isinstance(report.merge(("x", 1, 2, [("a", value, 1.0)], [], []), 1.0), Failure)
    assert isinstance(report.merge(("x", value, 2, [], [], []), 1.0), Failure)
