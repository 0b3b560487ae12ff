"""Reservations of engine memory for an attempt: all or none, and none left behind.

Each reservation is made for less than the time that memory may stay reserved but unused, so it
expires by itself if its release is lost.  It is renewed while the attempt runs.
"""

import asyncio

from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure, Reason

from ..observe import logs
from .attempt_result import AttemptResult

STEP = "reserve"

HOLD_FRACTION = 0.85
"""Duration of a reservation, as a fraction of the time that memory may stay unused."""

RENEW_FRACTION = 0.4
"""Fraction of that duration after which a reservation is renewed."""

RESERVE_SECONDS = 0.4
"""Timeout of one request to reserve memory."""

RELEASE_SECONDS = 1.0
RELEASE_TRIES = 2
"""Timeout and number of requests to release a reservation before it is left to expire."""


class Reservations:
    """Makes, renews and releases the memory reservations of this entry."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("tickets")
        self.hold = HOLD_FRACTION * entry.settings.direct.unused_memory_ms / 1000.0
        self.tasks = set()

    async def run(self, routed, placed, run):
        """Run an attempt with its memory reserved; return its `AttemptResult`."""
        if not placed.tickets:
            return await run()
        renewal = None
        try:
            failure = await self.reserve_all(placed)
            if failure is not None:
                return AttemptResult(
                    AttemptOutcome.NOT_RUN,
                    failure,
                    blamed_address=helper_address(placed, failure.peer),
                )
            renewal = asyncio.create_task(self.renew_periodically(placed))
            return await run()
        finally:
            if renewal is not None:
                renewal.cancel()
            self.release_all(placed)

    async def reserve_all(self, placed, renewal=False):
        """Make or renew all reservations of an attempt; return the first `Failure`, or None."""
        results = await asyncio.gather(
            *(self.reserve(helper, tokens, renewal) for helper, tokens in placed.tickets)
        )
        failures = [result for result in results if isinstance(result, Failure)]
        return failures[0] if failures else None

    async def reserve(self, helper, tokens, renewal):
        """Make or renew one reservation, if the helper accepts orders."""
        refusal = self.refusal(helper.endpoint, renewal)
        if refusal is not None:
            return refusal
        self.entry.metrics.count("direct_orders", tag="reserve")
        return await self.entry.memory_reservations.reserve(
            helper.endpoint, helper.ticket, tokens, self.hold, RESERVE_SECONDS
        )

    def refusal(self, endpoint, known):
        """Return the failure of an order to an endpoint that wants none, or None.

        An endpoint that leaves still takes orders about reservations that it has `known`.
        """
        state, now = self.entry.state, self.entry.now()
        paused = state.notices.seconds_paused(endpoint.lifetime, now)
        if not paused and (known or state.accepts(endpoint, now)):
            return None
        return Failure(Reason.BUSY, STEP, endpoint.name, "it accepts no orders")

    async def renew_periodically(self, placed):
        """Renew the reservations until cancelled."""
        while True:
            await asyncio.sleep(RENEW_FRACTION * self.hold)
            failure = await self.reserve_all(placed, renewal=True)
            if failure is not None:
                logs.log_failure(self.log, "renewal_failed", failure)

    def release_all(self, placed):
        """Release all reservations in the background, so that the caller does not wait."""
        for helper, _ in placed.tickets:
            task = asyncio.create_task(self.release(helper))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def release(self, helper):
        """Release one reservation; if that fails, it expires by itself."""
        for _ in range(RELEASE_TRIES):
            result = self.refusal(helper.endpoint, known=True)
            if result is not None:
                break
            self.entry.metrics.count("direct_orders", tag="release")
            result = await self.entry.memory_reservations.release(
                helper.endpoint, helper.ticket, RELEASE_SECONDS
            )
            if not isinstance(result, Failure):
                return
        logs.log_failure(self.log, "release_failed", result, ticket=helper.ticket)


def helper_address(placed, name):
    """Return the address of the helper called `name`, empty if there is none."""
    found = (h.endpoint.address for h, _ in placed.tickets if h.endpoint.name == name)
    return next(found, "")
