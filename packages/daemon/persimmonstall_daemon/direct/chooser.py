"""Chooses the endpoints of an attempt; asks for a permit where an endpoint names a limit."""

import asyncio

from persimmonstall.failures import Failure, Postponed, Reason

STEP = "place"

MAX_PERMITS_ASKED = 3
"""Maximum number of endpoints for which one attempt asks for a permit."""


class EndpointChooser:
    """Places attempts, on endpoints without a request limit while any of them is free."""

    def __init__(self, entry):
        self.entry = entry

    async def choose(self, routed, name, history):
        """Return the `PlacedAttempt` of the attempt `name`, or a `Failure`."""
        state = self.entry.state
        avoid = history.tried_endpoints
        limited = state.placer.limited_endpoints(routed, avoid)
        if not limited:
            return self.place(routed, name, history)
        probe = self.probe(routed, limited)
        if probe is not None:
            return self.place(routed, name, history, only=probe.name)
        if state.placer.has_free_endpoint(routed, self.entry.now(), avoid):
            return self.place(routed, name, history)
        return await self.choose_limited(routed, name, history, limited)

    def place(self, routed, name, history, only=""):
        """Place an attempt, on the endpoint `only` if it is named."""
        return self.entry.state.placer.place(
            routed,
            self.entry.now(),
            name,
            history.tried_endpoints,
            history.last_event,
            only,
        )

    def probe(self, routed, limited):
        """Return an endpoint whose limit is due for a probe that this entry may send, or None."""
        now, limits = self.entry.now(), self.entry.state.request_limits
        if self.entry.state.placer.is_split(routed):
            return None
        for endpoint in limited:
            lifetime = endpoint.lifetime
            if not limits.probe_due(lifetime, now) or not self.entry.ownership.owns(endpoint.name):
                continue
            if limits.acquire(lifetime, limits.rate(lifetime), 0.0, now).granted:
                return endpoint
        return None

    async def choose_limited(self, routed, name, history, limited):
        """Place an attempt on an endpoint with a limit once its owner permits it.

        Without a permit it goes to the other endpoints, though none of them is free.
        """
        waits = []
        for endpoint in limited[:MAX_PERMITS_ASKED]:
            permit = await self.entry.permits.acquire(endpoint, routed.route.objective)
            if not permit.granted:
                waits.append(permit.wait)
                continue
            await asyncio.sleep(permit.wait)
            placed = self.place(routed, name, history, only=endpoint.name)
            if not isinstance(placed, Failure):
                return placed
        placed = self.place(routed, name, history)
        if isinstance(placed, Failure) and waits:
            detail = f"request limits of all endpoints of {routed.service.name} are used up"
            return Postponed(Reason.BUSY, STEP, detail=detail, delay=min(waits))
        return placed
