"""Chooses the endpoints of an attempt; asks for a permit where an endpoint names a limit."""

import asyncio

import attrs

from persimmonstall.direct.cold import RETRY_SECONDS, SEND_SECONDS
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

    async def choose(self, routed, name, history, patient=True):
        """Return the `PlacedAttempt` of the attempt `name`, or a `Failure`.

        Each cold endpoint that takes part needs a permit.  One without is left out; if there are
        no others, the attempt waits for its turn at one if it is `patient`.
        """
        denied = frozenset()
        for _ in range(MAX_PERMITS_ASKED):
            placed = await self.choose_within_limits(routed, name, history, denied)
            if isinstance(placed, Failure) and not denied:
                return placed
            if isinstance(placed, Failure):
                break
            permitted, refused = await self.permit_cold(placed)
            if not refused:
                return permitted
            denied |= refused
        cold = self.placer.cold_names(routed, self.entry.now())
        placed = await self.choose_within_limits(routed, name, history, denied | cold)
        if not patient or not isinstance(placed, Failure):
            return placed
        return await self.wait_for_cold(routed, name, history, placed)

    async def wait_for_cold(self, routed, name, history, failure):
        """Place an attempt on cold endpoints once they are permitted, else return a `Failure`.

        `failure` is that of placing it on others.
        """
        placed = await self.choose_within_limits(routed, name, history)
        if isinstance(placed, Failure):
            return failure
        permitted, refused = await self.permit_cold(placed, routed.route.objective)
        if not refused:
            return self.with_time_left(permitted, routed)
        detail = f"endpoints of {routed.service.name} are cold, and get all they can take"
        return Postponed(Reason.BUSY, STEP, detail=detail, delay=RETRY_SECONDS)

    async def permit_cold(self, placed, patience=0.0):
        """Ask for a permit of each cold endpoint of a `PlacedAttempt`, and wait for its turn.

        Return it with the permits, and the names of the endpoints that were refused.
        """
        asked_at = self.entry.now()
        state = self.entry.state
        cold = [each for each in placed.endpoints if state.cold.is_cold(each, asked_at)]
        if not cold:
            return placed, frozenset()
        permits = await asyncio.gather(
            *(self.entry.permits.acquire_cold(endpoint, patience) for endpoint in cold)
        )
        pairs = list(zip(cold, permits, strict=True))
        refused = frozenset(each.name for each, permit in pairs if not permit.granted)
        if refused:
            return placed, refused
        wait = max(permit.wait for permit in permits)
        await asyncio.sleep(wait)
        names = frozenset(endpoint.name for endpoint in cold)
        until = asked_at + wait + SEND_SECONDS
        return attrs.evolve(placed, permitted=names, permitted_until=until), refused

    async def choose_within_limits(self, routed, name, history, denied=frozenset()):
        """Return the `PlacedAttempt` of the attempt `name`, or a `Failure`.

        It goes to none of the endpoints whose names are in `denied`.
        """
        if denied:
            tried = history.tried_endpoints | denied
            history = attrs.evolve(history, tried_endpoints=tried)
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
