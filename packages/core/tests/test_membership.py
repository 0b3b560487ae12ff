from collections import Counter

import pytest

from persimmonstall.invariants import Invariants
from persimmonstall.membership import MembershipView, subset_of
from persimmonstall.membership.subset import assign
from persimmonstall.outside.instances import Instance, InstanceState


def instance(name, role="endpoint", state=InstanceState.LIVE, centre="dc1"):
    return Instance(name, role, f"{name}:1", centre, state=state, endpoints=(f"{name}-engine",))


def fleet(role, count, prefix, centres=7):
    return [instance(f"{prefix}{i}", role, centre=f"dc{i % centres}") for i in range(count)]


@pytest.fixture
def reports():
    return []


@pytest.fixture
def view(reports):
    view = MembershipView(Invariants(strict=True), lambda *report: reports.append(report))
    view.on_list((instance("d1"), instance("d2"), instance("e1", "entry")), 0.0)
    return view


def test_first_report_of_leaving_counts_and_a_stale_list_does_not_override_it(view, reports):
    view.on_leaving("d1", ["d1-engine"])
    view.on_list((instance("d1"), instance("d2"), instance("e1", "entry")), 1.0)
    assert view.leaving == {"d1-engine"}
    view.on_list((instance("d1"), instance("d2", state=InstanceState.LEAVING)), 2.0)
    assert view.leaving == {"d1-engine", "d2-engine"}
    view.on_drains(["d1-engine", "d2-engine"])
    assert reports == [("d1-engine", "own"), ("d2-engine", "list")]


def test_an_undrained_or_replaced_endpoint_is_not_leaving(view):
    view.on_drains(["d1"])
    assert "d1-engine" in view.leaving
    view.on_drains([])
    view.on_contact("d1", 1.0, run="a")
    view.on_leaving("d1", ["d1-engine"])
    view.on_contact("d1", 2.0, run="a")
    assert view.leaving == {"d1-engine"}
    view.on_contact("d1", 3.0, run="b")
    assert view.leaving == frozenset()


def test_an_instance_missing_from_the_list_is_kept_while_it_is_heard_from(view):
    view.on_contact("d1", 1.0)
    view.on_list((instance("e1", "entry"),), 2.0)
    assert [one.name for one in view.known_instances("endpoint")] == ["d1"]
    view.on_list((instance("e1", "entry"),), 12.5)
    assert view.known_instances("endpoint") == ()


def test_an_instance_dropped_from_the_list_keeps_its_link_but_gets_no_new_work(view):
    for second in range(30):
        view.on_contact("d1", float(second))
        view.on_list((instance("e1", "entry"),), float(second))
    assert [one.name for one in view.known_instances("endpoint")] == ["d1"]
    assert "d1-engine" in view.leaving
    view.on_list((instance("d1"), instance("e1", "entry")), 30.0)
    assert view.leaving == frozenset()


def test_subset_is_bounded_balanced_and_prefers_the_same_data_centre():
    entries, daemons = fleet("entry", 40, "e"), fleet("endpoint", 370, "d")
    assigned = assign(entries, daemons, 64)
    covered = Counter(name for names in assigned.values() for name in names)
    assert set(covered.values()) == {7}
    assert max(map(len, assigned.values())) <= 82
    centre = {one.name: one.data_centre for one in daemons + entries}
    same_centre = sum(centre[d] == centre[e] for e, names in assigned.items() for d in names)
    assert same_centre > 2 * 7 * 370 / 7
    assert all(len({centre[e] for e in assigned if d in assigned[e]}) > 1 for d in covered)


def test_replacing_a_daemon_or_entry_changes_few_assignments():
    entries, daemons = fleet("entry", 40, "e"), fleet("endpoint", 370, "d")
    before = assign(entries, daemons, 64)
    after = assign(entries, [*daemons[1:], instance("new", centre="dc0")], 64)
    moved = sum(len(set(after[e]) - set(before[e])) for e in after)
    assert moved <= 7 * 12
    after = assign([*entries[1:], instance("new", "entry", centre="dc0")], daemons, 64)
    moved = sum(len(set(after[e]) - set(before.get(e, ()))) for e in after if e != "new")
    assert moved <= 370


def test_a_small_fleet_is_covered_completely_and_rare_services_always():
    entries, daemons = fleet("entry", 4, "e"), fleet("endpoint", 20, "d")
    assert subset_of("e1", entries, daemons, 64) == daemons
    many = fleet("endpoint", 370, "d")
    groups = {f"d{i}": ("records",) for i in (5, 9, 11)}
    for entry in fleet("entry", 40, "e"):
        names = {
            one.name for one in subset_of(entry.name, fleet("entry", 40, "e"), many, 64, groups)
        }
        assert len(names & set(groups)) >= 2
        assert len(names) <= 84
