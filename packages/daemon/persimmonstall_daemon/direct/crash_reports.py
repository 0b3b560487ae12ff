"""Finds out whether a lost connection was a crash, and refuses calls that crash endpoints."""

import asyncio

from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Outcome, Reason, Refusal

from ..observe import logs
from .endpoint_client import accepts_connections

STEP = "content"

CRASH_CHECK_DELAY_SECONDS = 0.02
"""Delay before checking whether an endpoint that cut off a call still accepts connections."""

DEAD_ENDPOINT_WEIGHT = 2.0
"""Weight of the failure that is recorded for a dead endpoint."""

MAX_BATCHES_BEFORE_CRASH = 1
"""How often a call that crashes its endpoint may have sent events before."""


class CrashReporter:
    """Records what crashes endpoints in the entry's `CrashTracker`, and tells the peers."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("crashes")

    @property
    def crash_tracker(self):
        """The crashes that this entry knows."""
        return self.entry.state.crash_tracker

    def check(self, routed):
        """Return a `Refusal` of a call that has crashed endpoints, None if it may be sent."""
        if self.crash_tracker.is_blocked(routed.content, self.entry.now()):
            return quarantined(f"content {routed.content}")
        blocked = self.crash_tracker.parts.blocked_parts(routed.call.shared_parts)
        if not blocked or self.is_trial(blocked, routed):
            return None
        return quarantined(f"prompt part {', '.join(blocked)}")

    def is_trial(self, blocked, routed):
        """Return whether a call with a blocked part is sent to see whether it still crashes."""
        part = blocked[0]
        if len(blocked) > 1 or not self.entry.ownership.owns(part):
            return False
        if not self.crash_tracker.parts.start_trial(part, self.entry.now()):
            return False
        self.log.warning("part_tried", part=part, request_id=routed.call.call_id)
        return True

    def may_retry(self, routed):
        """Return whether a call that failed may be sent again as far as crashes are known."""
        if self.crash_tracker.is_blocked(routed.content, self.entry.now()):
            return False
        return not self.crash_tracker.parts.blocked_parts(routed.call.shared_parts)

    def record_whole(self, routed):
        """Record a complete answer: the parts of its prompt crash nothing, its content hardly."""
        self.crash_tracker.sound.add(routed.content, self.entry.now())
        parts = self.crash_tracker.parts
        suspected = [part for part in routed.call.shared_parts if part in parts.suspects]
        parts.record_whole(routed.call.shared_parts, self.entry.now())
        for part in suspected:
            self.log.info("part_cleared", part=part, request_id=routed.call.call_id)
        if suspected:
            self.entry.peers.schedule_beacon(True)

    def record_lost(self, routed, endpoint, result):
        """Record a connection that an endpoint cut off, and check whether it is dead."""
        if result.ending is not AttemptOutcome.BROKEN:
            return
        if result.batches_relayed > MAX_BATCHES_BEFORE_CRASH:
            return
        self.crash_tracker.record_lost_connection(
            routed.content,
            endpoint.lifetime,
            self.entry.now(),
            routed.call.shared_parts,
            begun=result.batches_relayed > 0,
        )
        self.entry.spawn(self.check_for_crash(endpoint))

    async def check_for_crash(self, endpoint):
        """Check whether an endpoint that cut off a call is dead; if so, record a crash."""
        await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
        if not await accepts_connections(endpoint):
            self.record_crash(endpoint)

    def record_crash(self, endpoint):
        """Record the crash of an endpoint that cut off calls, and tell the peers.

        The directory may know a content that is new to this entry: it is asked again.
        """
        state, now = self.entry.state, self.entry.now()
        state.failure_scores.record_failure(endpoint.name, now, DEAD_ENDPOINT_WEIGHT)
        before = set(self.crash_tracker.parts.blocked())
        contents = self.crash_tracker.confirm_crash(endpoint.lifetime, now)
        self.log.warning("endpoint_crashed", endpoint=endpoint.name, contents=contents)
        self.log_blocked(before, "crash")
        self.log_blocked_contents(contents, now)
        if contents:
            self.entry.crash_records.read_contents_again()
        self.entry.peers.schedule_beacon(True)

    def log_blocked_contents(self, contents, now):
        """Log those of the contents that are blocked now."""
        for content in contents:
            if self.crash_tracker.is_blocked(content, now):
                crashes = len(self.crash_tracker.crashes[content][0])
                self.log.warning(
                    "content_blocked", content=content, crashes=crashes, source="crash"
                )

    def merge_remote(self, found):
        """Merge what another entry reports about parts of prompts in its `Findings`."""
        parts = self.crash_tracker.parts
        before = set(parts.blocked())
        parts.merge_remote(
            found.crashes, found.sound_parts, found.address, found.whole_answers, self.entry.now()
        )
        self.log_blocked(before, found.address)

    def log_blocked(self, before, source):
        """Log the parts that are blocked now and were not `before`; `source` says who knew."""
        for part, crashes in self.crash_tracker.parts.blocked().items():
            if part not in before:
                self.log.warning("part_blocked", part=part, crashes=crashes, source=source)


def quarantined(detail):
    """Return the refusal of a call that has crashed endpoints."""
    return Refusal(Reason.QUARANTINED, STEP, detail=detail, outcome=Outcome.NOT_RUN)
