import attrs
import pytest

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.content import content_fingerprint
from persimmonstall.direct.crash_tracker import CONFIRM_SECONDS, CrashTracker
from persimmonstall.direct.events import EventReader
from persimmonstall.direct.fleet import OUTAGE_GRACE_SECONDS
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.direct.messages import (
    Configuration,
    DroppedBody,
    Endpoint,
    Organisation,
    Service,
)
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.routing import RouteTable
from persimmonstall.direct.state import OUTAGE_SECONDS, State
from persimmonstall.direct.updates import (
    ConfigurationUpdate,
    EndpointChange,
    EndpointUpdate,
    ReachabilityUpdate,
)
from persimmonstall.failures import Postponed, Reason

from .direct_parts import NON_REPEATABLE, SHORT, make_call, make_fleet

SERVICES = {"llm": Service("llm"), "plain": Service("plain")}


def configuration(version=1, **changes):
    return Configuration(version, (SHORT, NON_REPEATABLE), SERVICES, **changes)


def make_state():
    return State(SharedRetryBudget(0.2, 10.0, 10.0))


def listed(*names, revision=1, whole=True):
    changes = tuple(
        EndpointChange(name, Endpoint(name, "llm", "10.0.0.1:80", born=1)) for name in names
    )
    return EndpointUpdate(changes, revision, whole)


def removed(name, revision):
    return EndpointUpdate((EndpointChange(name),), revision)


def test_route_needs_a_known_key_only_if_keys_are_required():
    keys = {"k": Organisation("o", 2)}
    table = RouteTable(configuration(keys=keys, keyed=True))
    assert table.admit(make_call()).reason is Reason.UNAUTHENTICATED
    admitted = table.admit(attrs.evolve(make_call(), key="k"))
    assert admitted.organisation.name == "o"
    assert admitted.priority == 2
    assert RouteTable(configuration()).admit(make_call()).organisation is None


def test_call_whose_body_was_dropped_is_not_routed_without_it():
    call = attrs.evolve(make_call(), body=DroppedBody(4))
    assert isinstance(RouteTable(configuration()).admit(call), Postponed)


def test_unknown_route_is_not_found():
    assert RouteTable(configuration()).admit(make_call(target="/zz/")).reason is Reason.NOT_FOUND


def test_configuration_never_goes_back():
    state = make_state()
    assert state.apply_update(ConfigurationUpdate(configuration(7)), 0.0)
    assert not state.apply_update(ConfigurationUpdate(configuration(3)), 1.0)
    assert state.configuration.version == 7


def test_state_is_ready_only_with_configuration_and_list():
    state = make_state()
    state.apply_update(ConfigurationUpdate(configuration()), 0.0)
    assert not state.ready
    state.apply_update(listed("a"), 0.0)
    assert state.ready


def test_endpoint_that_leaves_the_list_is_dropped_at_once():
    state = make_state()
    state.apply_update(listed("a", "b"), 0.0)
    state.apply_update(removed("a", 2), 1.0)
    assert set(state.fleet.endpoints) == {"b"}


def test_outdated_read_of_the_list_changes_nothing():
    state = make_state()
    state.apply_update(listed("a", "b", revision=5), 0.0)
    assert not state.apply_update(listed("a", revision=4), 1.0)
    assert set(state.fleet.endpoints) == {"a", "b"}


def test_endpoint_missing_after_an_outage_is_dropped_after_the_grace_period():
    state = make_state()
    state.apply_update(listed("a", "b"), 0.0)
    state.apply_update(ReachabilityUpdate(False), 1.0)
    back = 1.0 + OUTAGE_SECONDS + 1.0
    state.apply_update(ReachabilityUpdate(True), back)
    state.apply_update(removed("a", 2), back)
    assert set(state.fleet.endpoints) == {"a", "b"}
    state.tick(back + OUTAGE_GRACE_SECONDS / 2)
    assert set(state.fleet.endpoints) == {"a", "b"}
    state.tick(back + OUTAGE_GRACE_SECONDS)
    assert set(state.fleet.endpoints) == {"b"}


def test_endpoint_listed_again_within_the_grace_period_stays():
    state = make_state()
    state.apply_update(listed("a"), 0.0)
    state.apply_update(ReachabilityUpdate(False), 1.0)
    state.apply_update(ReachabilityUpdate(True), 5.0)
    state.apply_update(removed("a", 2), 5.0)
    state.apply_update(listed("a", revision=3, whole=False), 6.0)
    state.tick(5.0 + OUTAGE_GRACE_SECONDS)
    assert set(state.fleet.endpoints) == {"a"}


def test_outage_of_this_entry_alone_starts_no_grace_period():
    state = make_state()
    state.apply_update(listed("a"), 0.0)
    state.apply_update(ReachabilityUpdate(False), 1.0)
    state.peer_saw_directory(4.8, 4.8)
    state.apply_update(ReachabilityUpdate(True), 5.0)
    state.apply_update(removed("a", 2), 5.0)
    assert not state.fleet.endpoints


@pytest.mark.parametrize(("silent", "kept"), [(1.5, False), (5.0, True)])
def test_entry_that_does_not_read_keeps_endpoints_missing_after_an_outage(silent, kept):
    state = make_state()
    state.apply_update(listed("a"), 0.0)
    state.peer_saw_directory(1.0, 1.0, relies_on_peers=True)
    state.peer_saw_directory(1.0 + silent, 1.0 + silent, relies_on_peers=True)
    state.apply_update(removed("a", 2), 1.0 + silent)
    assert bool(state.fleet.endpoints) == kept


def test_list_without_changes_is_no_outage():
    state = make_state()
    state.apply_update(listed("a"), 0.0)
    state.apply_update(ReachabilityUpdate(True), 0.0)
    state.apply_update(ReachabilityUpdate(True), 30.0)
    state.apply_update(removed("a", 2), 30.0)
    assert not state.fleet.endpoints


def test_leaving_endpoint_takes_no_new_work():
    fleet = make_fleet(2)
    fleet.put(attrs.evolve(fleet.endpoints["e0"], leaving=True))
    assert [endpoint.name for endpoint in fleet.usable("llm")] == ["e1"]


def test_content_is_blocked_after_two_crashed_lifetimes():
    crash_tracker = CrashTracker()
    content = content_fingerprint(make_call())
    for number in range(2):
        assert not crash_tracker.is_blocked(content, 1.0)
        crash_tracker.record_lost_connection(content, (f"e{number}", 1), 1.0)
        crash_tracker.confirm_crash((f"e{number}", 1), 2.0)
    assert crash_tracker.is_blocked(content, 2.0)


def test_lost_connection_to_a_living_endpoint_does_not_count():
    crash_tracker = CrashTracker()
    content = content_fingerprint(make_call())
    for number in range(5):
        crash_tracker.record_lost_connection(content, (f"e{number}", 1), 1.0)
    crash_tracker.expire(1.0 + CONFIRM_SECONDS + 0.1)
    assert not crash_tracker.is_blocked(content, 2.0)
    assert not crash_tracker.lost_connections


def test_fingerprint_ignores_the_call_id():
    assert content_fingerprint(make_call("a")) == content_fingerprint(make_call("b"))
    assert content_fingerprint(make_call("a")) != content_fingerprint(
        make_call("a", target="/s/other")
    )


def test_crashes_reported_by_another_entry_count():
    crash_tracker = CrashTracker()
    crash_tracker.merge_remote((("c", (("e1", 1), ("e2", 1), ("e3", 1))),), 1.0)
    assert crash_tracker.is_blocked("c", 1.0)


def test_budget_counts_retries_of_other_entries():
    budget = SharedRetryBudget(ratio=0.0, slack=10.0, window=10.0)
    budget.merge_remote("other", {"s": (0, 4)})
    assert budget.try_acquire("s", 0.0)
    assert not budget.try_acquire("s", 0.0)
    budget.forget("other")
    assert budget.try_acquire("s", 0.0)


def test_budget_drops_retries_older_than_the_window():
    budget = SharedRetryBudget(ratio=0.0, slack=2.0, window=10.0)
    assert budget.try_acquire("s", 0.0)
    assert not budget.try_acquire("s", 5.0)
    assert budget.try_acquire("s", 11.5)


def test_events_out_of_order_are_not_passed_on():
    reader = EventReader(last=4)
    assert reader.feed(b"id: 5\ndata: x\n\n")
    assert reader.feed(b"id: 5\ndata: x\n\n") == b""
    assert reader.out_of_order


def test_incomplete_event_is_buffered():
    reader = EventReader()
    assert reader.feed(b"id: 0\nda") == b""
    assert reader.partial
    assert reader.feed(b"ta: x\n\n") == b"id: 0\ndata: x\n\n"
    assert not reader.partial


def test_malformed_beacon_is_a_failure():
    for data in (b"", b"\xc0", b"\x93\x01\x02\x03", b"rubbish" * 10):
        assert not beacons.decode(data)


def test_beacon_of_a_busy_entry_is_small():
    """In a large deployment, an entry sends beacons to 33 others over a link of 7 Mbit/s."""
    short = [InFlightAttempt(f"abcdef123456-{n}", (make_demand(0),)) for n in range(4)]
    long = InFlightAttempt("abcdef123456-99", tuple(make_demand(n) for n in range(17)))
    sent = beacons.Beacon("10.1.0.40:7340", 1 << 47, 99, attempts=(*short, long))
    assert len(beacons.encode(sent)) < 1000
    assert beacons.decode(beacons.encode(sent)) == sent


def make_demand(number):
    return EndpointDemand(
        f"i-7f3a91c2{number:02d}", 0.0712, 5000, 6100, number == 0, 0.2, 0.27, 1.1
    )


def test_snapshot_carries_configuration_and_endpoints():
    sent = snapshots.Snapshot(ConfigurationUpdate(configuration(3)), listed("a"))
    assert snapshots.decode(snapshots.encode(sent)) == sent
    assert not snapshots.decode(b"rubbish")


def test_table_that_fails_is_not_hidden_by_another_that_is_answered():
    """Readers that got endpoints but no configuration kept all others from reading it."""
    state = make_state()
    for table in ("configuration", "endpoints"):
        state.apply_update(ReachabilityUpdate(True, table=table), 1.0)
    for now in (2.0, 3.0, 4.0):
        state.apply_update(ReachabilityUpdate(True, table="endpoints"), now)
        state.apply_update(ReachabilityUpdate(False, table="configuration"), now)
    assert state.directory_seen_at == 1.0
