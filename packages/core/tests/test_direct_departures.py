"""Endpoints that had left the list, and are listed again by an old copy of it."""

import pytest

from persimmonstall.direct.departures import DEPARTED_SECONDS, Departures
from persimmonstall.direct.fleet import Fleet
from persimmonstall.direct.messages import Endpoint
from persimmonstall.direct.updates import EndpointChange, EndpointUpdate, RowStamp

ERA_STRIDE = 1000
"""Difference between the positions of the same version in two eras."""

GONE = Endpoint("gone", "plain", "10.0.0.1:80", born=1)
STAYS = Endpoint("stays", "plain", "10.0.0.2:80", born=1)
LONG = 3600.0


def row(endpoint, version, sequence=1, era=1):
    return EndpointChange(endpoint.name, endpoint, RowStamp(era, version, sequence))


def update(version, *rows, era=1, whole=False):
    return EndpointUpdate(
        rows, era * ERA_STRIDE + version, whole=whole, first_read=RowStamp(era, version)
    )


def whole(version, *rows, era=1):
    return update(version, *rows, era=era, whole=True)


def usable(fleet):
    return {endpoint.name for endpoint in fleet.usable("plain")}


@pytest.fixture
def fleet():
    """A fleet whose list has come back from a copy that names an endpoint which had left."""
    fleet = Fleet()
    fleet.apply(whole(5, row(GONE, 4, era=0), row(STAYS, 3, era=0), era=0), 0.0)
    fleet.apply(update(9, EndpointChange("gone"), era=0), 1.0)
    fleet.start_restore(2.0)
    fleet.apply(whole(5, row(GONE, 4), row(STAYS, 3)), 2.0)
    return fleet


def test_endpoint_of_an_old_copy_is_not_used_as_time_passes(fleet):
    """It was used again three seconds after the list came back."""
    for now in (2.0, 5.1, DEPARTED_SECONDS + 9.0, LONG):
        fleet.expire(now)
        assert usable(fleet) == {"stays"}


@pytest.mark.parametrize("change", [row(GONE, 6), row(GONE, 4, sequence=2)])
def test_endpoint_whose_row_is_written_anew_is_used_at_once(fleet, change):
    digest = fleet.digest
    fleet.apply(whole(6, change, row(STAYS, 3)), 3.0)
    assert usable(fleet) == {"gone", "stays"}
    assert fleet.digest != digest
    assert "gone" in fleet.changed_since(ERA_STRIDE + 5)


def test_row_of_the_copy_that_is_read_again_is_no_news(fleet):
    fleet.apply(whole(7, row(GONE, 4), row(STAYS, 7)), 3.0)
    assert usable(fleet) == {"stays"}


def test_row_of_a_second_old_copy_is_no_news(fleet):
    fleet.start_restore(4.0)
    second = (row(GONE, 6, sequence=7, era=2), row(STAYS, 6, era=2))
    fleet.apply(whole(7, *second, era=2), 4.0)
    assert usable(fleet) == {"stays"}
    fleet.apply(update(8, row(GONE, 8, era=2), era=2), 5.0)
    assert usable(fleet) == {"gone", "stays"}


def test_peer_that_says_again_that_the_list_came_back_does_not_bring_an_endpoint_back(fleet):
    fleet.start_restore(2.5)
    fleet.apply(whole(7, row(GONE, 4), row(STAYS, 6)), 2.5)
    assert usable(fleet) == {"stays"}
    assert fleet.departures.first_read.version == 5


def test_new_lifetime_of_an_endpoint_that_was_gone_is_used(fleet):
    born_again = Endpoint("gone", "plain", "10.0.0.1:80", born=2)
    fleet.apply(update(6, row(born_again, 6)), 3.0)
    assert usable(fleet) == {"gone", "stays"}


def test_endpoint_that_left_after_the_return_and_is_listed_again_is_used(fleet):
    fleet.apply(update(6, EndpointChange("stays")), 5.0)
    fleet.apply(update(7, row(STAYS, 7)), 6.0)
    assert usable(fleet) == {"stays"}


@pytest.mark.parametrize("before", [False, True])
def test_peer_that_saw_an_endpoint_leave_is_believed_until_its_row_is_written_anew(before):
    """Datagrams and rows arrive in any order."""
    fresh, stamp = Fleet(), RowStamp(1, 4, 1)
    if before:
        fresh.hold(GONE.lifetime, stamp, 0.0)
    fresh.apply(whole(5, row(GONE, 4)), 0.0)
    fresh.hold(GONE.lifetime, stamp, 0.0)
    assert usable(fresh) == set()
    fresh.apply(update(8, row(GONE, 8)), 1.0)
    assert usable(fresh) == {"gone"}
    assert not fresh.hold(GONE.lifetime, stamp, 2.0)
    assert usable(fresh) == {"gone"}


def test_what_peers_say_of_endpoints_that_are_never_listed_is_forgotten():
    departures = Departures()
    departures.hold(GONE.lifetime, RowStamp(1, 3), 0.0)
    departures.expire(DEPARTED_SECONDS + 1.0)
    assert not departures.held
