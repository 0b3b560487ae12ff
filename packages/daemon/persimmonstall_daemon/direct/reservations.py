"""Reservations of engine memory for one attempt: all or none, and none left over.

A reservation is never held longer than the time for which memory may stay reserved unused, so
that one whose release is lost lapses by itself; while the attempt runs it is renewed.
"""

import asyncio

from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure

from ..observe import logs
from .attempt import Ended

HOLD_SHARE = 0.85
"""Share of the allowed unused time for which a reservation is made."""

RENEW_SHARE = 0.4
"""Share of the hold after which a reservation is renewed."""

RESERVE_SECONDS = 0.4
"""Time for one order to reserve memory."""

RELEASE_SECONDS = 1.0
RELEASE_TRIES = 2
"""Time and number of orders that release one reservation before it is left to lapse."""


class Tickets:
    """Owns all reservations of this entry."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("tickets")
        self.hold = HOLD_SHARE * entry.settings.direct.unused_memory_ms / 1000.0
        self.tasks = set()

    async def run(self, routed, placed, run):
        """Run an attempt with its memory reserved; return how it `Ended`."""
        if not placed.tickets:
            return await run()
        keeper = None
        try:
            failure = await self.reserve_all(placed)
            if failure is not None:
                return Ended(
                    AttemptOutcome.NOT_RUN,
                    failure,
                    blamed_address=address_of(placed, failure.peer),
                )
            keeper = asyncio.create_task(self.keep(placed))
            return await run()
        finally:
            if keeper is not None:
                keeper.cancel()
            self.release_all(placed)

    async def reserve_all(self, placed):
        """Reserve every ticket; return the first `Failure`, or None."""
        results = await asyncio.gather(
            *(self.reserve(helper, tokens) for helper, tokens in placed.tickets)
        )
        failures = [result for result in results if isinstance(result, Failure)]
        return failures[0] if failures else None

    async def reserve(self, helper, tokens):
        """Reserve or renew one ticket."""
        self.entry.metrics.count("direct_orders", tag="reserve")
        return await self.entry.orders.reserve(
            helper.endpoint, helper.ticket, tokens, self.hold, RESERVE_SECONDS
        )

    async def keep(self, placed):
        """Renew the tickets until cancelled."""
        while True:
            await asyncio.sleep(RENEW_SHARE * self.hold)
            failure = await self.reserve_all(placed)
            if failure is not None:
                logs.log_failure(self.log, "renewal_failed", failure)

    def release_all(self, placed):
        """Release every ticket without making the caller wait."""
        for helper, _ in placed.tickets:
            task = asyncio.create_task(self.release(helper))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def release(self, helper):
        """Release one ticket; one that cannot be released lapses."""
        for _ in range(RELEASE_TRIES):
            self.entry.metrics.count("direct_orders", tag="release")
            result = await self.entry.orders.release(
                helper.endpoint, helper.ticket, RELEASE_SECONDS
            )
            if not isinstance(result, Failure):
                return
        logs.log_failure(self.log, "release_failed", result, ticket=helper.ticket)

    async def drain(self):
        """Wait for the releases under way."""
        await asyncio.gather(*self.tasks, return_exceptions=True)


def address_of(placed, name):
    """Return the address of the helper of that name, empty where there is none."""
    found = (h.endpoint.address for h, _ in placed.tickets if h.endpoint.name == name)
    return next(found, "")
