"""Holds calls in the entry until there is room, as `persimmonstall.direct.admission` decides."""

import asyncio

from persimmonstall.direct.admission import Admission, Admitted, WaitingCall
from persimmonstall.direct.usage import UsageReport, organisation_of

from ..observe import logs

REVIEW_SECONDS = 0.01
"""Interval at which waiting calls are reviewed."""


class AdmissionQueue:
    """Awaits the admission of an entry's calls; while none waits it costs nothing.

    `futures` holds what the waiting calls await.
    """

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("admission")
        enabled = entry.settings.direct.admission
        self.admission = Admission(entry.state.placer, entry.clock.random, enabled)
        self.futures = {}
        self.timer = None
        peers = entry.peers
        peers.add_report(UsageReport(self.admission, peers.address, peers.run_id))

    async def admit(self, routed):
        """Return None once a call may be placed, or the `Postponed` failure of its refusal.

        An entry that stops places its calls at once.
        """
        if self.entry.leaving:
            return None
        decision = self.admission.decide(routed, self.entry.now())
        if decision is None:
            self.entry.metrics.count("direct_admissions", tag="at_once")
        elif isinstance(decision, WaitingCall):
            await self.wait(decision)
        else:
            self.record_refused(routed, decision)
            return decision
        return None

    async def wait(self, call):
        """Wait until a call may be placed."""
        future = asyncio.get_running_loop().create_future()
        self.futures[call] = future
        self.schedule_review()
        try:
            self.record_admitted(await future)
        finally:
            self.futures.pop(call, None)
            self.admission.leave(call)

    def schedule_review(self):
        """Review the waiting calls soon, if there are any."""
        if self.timer is None and self.futures:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(REVIEW_SECONDS, self.review)

    def review(self):
        """Let the calls go on that may be placed now; all of them if the entry stops."""
        self.timer = None
        try:
            for each in self.admitted():
                future = self.futures.get(each.call)
                if future is not None and not future.done():
                    future.set_result(each)
        finally:
            self.schedule_review()

    def admitted(self):
        """Return the calls that may be placed now, as `Admitted`."""
        if self.entry.leaving:
            return [Admitted(call, True) for call in tuple(self.futures)]
        return self.admission.review(self.entry.now())

    def record_admitted(self, admitted):
        """Count and log that a call is placed after a wait."""
        routed, now = admitted.call.routed, self.entry.now()
        waited = now - routed.call.arrived
        decision = "offered" if admitted.offered else "waited"
        self.entry.metrics.count("direct_admissions", tag=decision)
        self.entry.metrics.timing("direct_admission_wait", waited)
        room = admitted.call.room
        self.log.info(
            "admitted",
            request_id=routed.call.call_id,
            decision=decision,
            waited_ms=round(waited * 1000),
            predicted_ms=round(admitted.call.predicted * 1000),
            places=room.places,
            queued=room.queued,
            slots=room.slots,
            **self.inputs(routed, now),
        )

    def record_refused(self, routed, failure):
        """Count and log that a call is refused for want of room."""
        self.entry.metrics.count("direct_admissions", tag="refused")
        self.log.info(
            "not_admitted",
            request_id=routed.call.call_id,
            detail=failure.detail,
            turn_ms=round(failure.delay * 1000),
            **self.inputs(routed, self.entry.now()),
        )

    def inputs(self, routed, now):
        """Return the inputs of a decision, as the fields of its log line."""
        usage, tracker = self.admission.usage, self.entry.state.load_tracker
        name = organisation_of(routed)
        heard = tracker.last_beacon_at.values()
        return {
            "route": routed.route.name,
            "organisation": name,
            "priority": routed.priority,
            "got": round(usage.rates(name, now).admitted, 1),
            "asked": round(usage.rates(name, now).asked, 1),
            "excess": round(usage.excess(name, now), 2),
            "waiting": len(self.admission.waiting),
            "waiting_elsewhere": sum(map(len, self.admission.remote_orders(now))),
            "peers_age_ms": round((now - min(heard)) * 1000) if heard else None,
        }

    def record_served(self, routed, seconds):
        """Record for how long a call was at its endpoint."""
        self.admission.record_served(routed, seconds)

    def tick(self, now):
        """Forget what is out of date."""
        self.admission.tick(now)
        self.entry.metrics.gauge("direct_waiting", len(self.futures))
