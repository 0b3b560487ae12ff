"""Chooses the endpoints of an attempt; asks for a permit where an endpoint names a limit."""

import asyncio

import attrs

from persimmonstall.failures import Failure, Postponed, Reason

STEP = "place"

MAX_PERMITS_ASKED = 3
"""Maximum number of endpoints for which one attempt asks for a permit."""


class EndpointChooser:
    """Places attempts, on endpoints without a request limit while any of them is free."""

    def __init__(self, entry):
        self.entry = entry

    @property
    def placer(self):
        """The placer, which decides without I/O."""
        return self.entry.state.placer

    async def choose(self, routed, name, history):
        """Return the `PlacedAttempt` of the attempt `name`, or a `Failure`."""
        avoid = history.tried_endpoints
        limited = self.placer.limited_endpoints(routed, avoid, self.entry.now())
        if not limited:
            return self.place(routed, name, history)
        probe = self.probe(routed, limited)
        if probe is not None:
            return self.place(routed, name, history, only=probe.name)
        if self.placer.has_free_endpoint(routed, avoid, self.entry.now()):
            return self.place(routed, name, history)
        return await self.choose_limited(routed, name, history)

    def place(self, routed, name, history, denied=frozenset(), **options):
        """Place an attempt, except on the endpoints whose names are in `denied`."""
        return self.placer.place(
            routed,
            self.entry.now(),
            name,
            history.tried_endpoints | denied,
            history.last_event,
            **options,
        )

    def probe(self, routed, limited):
        """Return an endpoint whose limit is due for a probe that this entry may send, or None."""
        if self.placer.is_split(routed):
            return None
        now, limits = self.entry.now(), self.entry.state.request_limits
        for endpoint in limited:
            lifetime = endpoint.lifetime
            due = limits.probe_due(lifetime, now) and self.placer.has_free_slot(endpoint)
            if not due or not self.entry.ownership.owns(endpoint.name):
                continue
            if limits.acquire(lifetime, limits.rate(lifetime), 0.0, now).granted:
                return endpoint
        return None

    async def choose_limited(self, routed, name, history):
        """Place an attempt on any endpoint, once the owner of its limit permits it.

        Without a permit it goes to the endpoints without a limit, though none of them is free.
        """
        denied, waits = set(), []
        for _ in range(MAX_PERMITS_ASKED):
            placed = self.place(routed, name, history, denied, include_limited=True)
            if isinstance(placed, Failure):
                break
            endpoint = placed.request.endpoint
            permit = await self.entry.permits.acquire(endpoint, routed.route.objective)
            if permit.granted:
                await asyncio.sleep(permit.wait)
                return self.with_time_left(placed, routed)
            denied.add(endpoint.name)
            waits.append(permit.wait)
        placed = self.place(routed, name, history)
        if isinstance(placed, Failure) and waits:
            detail = f"request limits of all endpoints of {routed.service.name} are used up"
            return Postponed(Reason.BUSY, STEP, detail=detail, delay=min(waits))
        return placed

    def with_time_left(self, placed, routed):
        """Return a placed attempt with the time that is left after the wait for its permit."""
        remaining = routed.deadline - self.entry.now()
        return attrs.evolve(placed, request=attrs.evolve(placed.request, remaining=remaining))
