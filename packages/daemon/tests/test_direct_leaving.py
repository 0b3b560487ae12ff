"""Endpoints that say they leave, as known by fleets of different sizes on virtual time."""

import asyncio
import random

import pytest

from persimmonstall.direct.messages import Endpoint
from persimmonstall.direct.notices import Notice
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet

WARM_UP_SECONDS = 3.0
KNOWN_SECONDS = 2.0
"""Time within which all entries know that endpoints leave; the directory tells it later."""

LEAVING = Notice(leaving=True)


def endpoints(count):
    """Return endpoints that say they leave."""
    return [Endpoint(f"e{n}", "plain", "10.0.9.9:80", born=1, slots=8) for n in range(count)]


def unaware(fleet, lifetimes):
    """Return how many entries do not know that all of the endpoints leave."""
    return sum(
        not lifetimes <= set(entry.state.notices.leaving) for entry in fleet.entries.values()
    )


async def restart_some(fleet, count):
    """Restart some entries at once."""
    for _ in range(count):
        address = fleet.random_entry().settings.daemon.address
        fleet.kill(address)
        fleet.start(address)


def play(count, leaving, seed, loss, restarts):
    """Return the numbers of unaware entries after the notices, and after restarts."""

    async def run():
        fleet = GossipFleet(count, random.Random(seed), loss)
        await asyncio.sleep(WARM_UP_SECONDS)
        concerned = endpoints(leaving)
        lifetimes = {endpoint.lifetime for endpoint in concerned}
        for endpoint in concerned:
            fleet.random_entry().notices.record(endpoint, LEAVING)
        await asyncio.sleep(KNOWN_SECONDS)
        after_notices = unaware(fleet, lifetimes)
        await restart_some(fleet, restarts)
        await asyncio.sleep(WARM_UP_SECONDS)
        after_restarts = unaware(fleet, lifetimes)
        fleet.stop()
        return after_notices, after_restarts

    return virtual_loop.run(run())


@pytest.mark.parametrize(("count", "loss", "restarts"), [(3, 0.0, 1), (8, 0.1, 2), (34, 0.1, 4)])
def test_endpoints_that_leave_are_known_to_all_entries(count, loss, restarts):
    assert play(count, 20, 1, loss, restarts) == (0, 0)


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(2))
def test_endpoints_that_leave_are_known_to_300_entries(seed):
    assert play(300, 60, seed, 0.02, 20) == (0, 0)
