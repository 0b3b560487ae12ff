"""Finds out whether a lost connection was a crash, and refuses calls that crash endpoints."""

import asyncio

from persimmonstall.direct.crash_record import RecordKind
from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure, Reason, refuse

from ..observe import logs
from .connecting import PortState, probe_port

STEP = "content"

CRASH_CHECK_DELAY_SECONDS = 0.02
"""Delay before checking whether an endpoint that cut off a call still accepts connections."""

ABANDONED_CHECK_SECONDS = 0.3
ABANDONED_CHECK_MAX_SECONDS = 1.2
"""First and longest pause before a check whether an endpoint survives its abandoned calls; each
pause is twice as long as the one before."""

MAX_CHECK_SECONDS = 0.3
"""Longest wait for such a check before a call is sent again."""

DEAD_ENDPOINT_WEIGHT = 2.0
"""Weight of the failure that is recorded for a dead endpoint."""

MAX_BATCHES_BEFORE_CRASH = 1
"""How often a call that crashes its endpoint may have sent events before."""

MIN_PROGRESS_SECONDS = 1.0
"""Time since its first event after which an answer that goes on shows that no part of its prompt
crashes endpoints: they crash as they begin to write."""

KEY_NAMES = {RecordKind.PART: "prompt part", RecordKind.CONTENT: "content"}
"""What refusals call a blocked key."""


class CrashReporter:
    """Records what crashes endpoints in the entry's `CrashTracker`, and tells the peers.

    `checks` are the running checks for crashes, by endpoint lifetime; `watches` are those of
    endpoints that may still run abandoned calls.
    """

    def __init__(self, entry):
        self.entry = entry
        self.checks = {}
        self.watches = {}
        self.log = logs.get("crashes")

    @property
    def crash_tracker(self):
        """The crashes that this entry knows."""
        return self.entry.state.crash_tracker

    async def check(self, routed):
        """Return a `Refusal` of a call that has crashed endpoints, None if it may be sent.

        Of the calls with a blocked content or part one at a time is tried.
        """
        blocked = self.blocked(routed)
        if not blocked:
            return None
        permit = await self.ask_for_trial(routed, blocked)
        if permit is None:
            return quarantined(blocked)
        if not permit.granted:
            return quarantined(blocked, permit.wait)
        for kind, key in blocked:
            self.log.warning(
                f"{kind.value}_tried", **{kind.value: key}, request_id=routed.call.call_id
            )
        return None

    async def ask_for_trial(self, routed, blocked):
        """Return the `Permit` to try a call with `blocked` keys, None if it is not tried.

        One with a blocked content is tried only if no part of it is blocked too.
        """
        trials, (kind, key) = self.entry.trials, blocked[-1]
        if kind is RecordKind.PART:
            trial = self.crash_tracker.parts.trial(routed.parts)
            return trial and await trials.acquire(kind, trial.key, trial.telling)
        if len(blocked) > 1:
            return None
        at_once = self.crash_tracker.sound.is_sound(key, self.entry.now())
        return await trials.acquire(kind, key, at_once)

    def blocked(self, routed):
        """Return the (kind, key) pairs of the call's content and parts that are blocked."""
        tracker = self.crash_tracker
        parts = tracker.parts.blocked_parts(routed.parts)
        blocked = [(RecordKind.PART, part) for part in parts]
        if tracker.is_blocked(routed.content, self.entry.now()):
            blocked.append((RecordKind.CONTENT, routed.content))
        return blocked

    def may_retry(self, routed):
        """Return whether a call that failed may be sent again as far as crashes are known."""
        return not self.blocked(routed)

    def record_whole(self, routed):
        """Record a complete answer: the call's parts crash nothing, its content hardly does."""
        self.record_sound_parts(routed)
        if self.crash_tracker.record_whole(routed.content, self.entry.now()):
            self.report_cleared("content", routed.content, routed)

    def record_progress(self, routed, batches_relayed, seconds):
        """Record that an answer has gone on for some seconds since its first event.

        A suspected part would have crashed the endpoint before; a trial that is answered slowly
        clears its parts now.
        """
        if batches_relayed <= MAX_BATCHES_BEFORE_CRASH or seconds < MIN_PROGRESS_SECONDS:
            return
        if any(part in self.crash_tracker.parts.suspects for part in routed.parts):
            self.record_sound_parts(routed)

    def record_sound_parts(self, routed):
        """Record that an answer to a call has gone beyond its beginning."""
        parts = self.crash_tracker.parts
        cleared = [part for part in routed.parts if part in parts.suspects]
        parts.record_answer(routed.parts, self.entry.now())
        for part in cleared:
            self.report_cleared("part", part, routed)

    def report_cleared(self, kind, key, routed):
        """Log what an answer has cleared, and tell the peers."""
        self.log.info(f"{kind}_cleared", **{kind: key}, request_id=routed.call.call_id)
        self.entry.peers.schedule_beacon(True)

    def record_lost(self, routed, endpoint, result):
        """Record an attempt that failed, and check whether its endpoint is dead.

        That counts if the endpoint cut off the connection, or the attempt was late.  An endpoint
        that was leaving ends without a crash.
        """
        if result.ending is AttemptOutcome.LATE:
            self.record_abandoned(routed, endpoint, result.batches_relayed)
        if result.ending is not AttemptOutcome.BROKEN:
            return
        if result.batches_relayed > MAX_BATCHES_BEFORE_CRASH:
            return
        if self.entry.state.is_leaving(endpoint):
            return
        self.crash_tracker.record_lost_connection(
            routed.content,
            endpoint.lifetime,
            self.entry.now(),
            routed.parts,
            begun=result.batches_relayed > 0,
        )
        self.checks[endpoint.lifetime] = self.entry.spawn(self.check_for_crash(endpoint))

    def record_abandoned(self, routed, endpoint, batches_relayed):
        """Record a call whose connection this entry closed, and watch whether its endpoint dies.

        Not every endpoint stops a call whose connection closes.
        """
        now, lifetime = self.entry.now(), endpoint.lifetime
        if batches_relayed > MAX_BATCHES_BEFORE_CRASH or self.entry.state.is_leaving(endpoint):
            return
        self.crash_tracker.record_abandoned_call(
            routed.content, lifetime, now, routed.deadline, routed.parts, batches_relayed > 0
        )
        if lifetime not in self.watches:
            self.watches[lifetime] = self.entry.spawn(self.watch_abandoned(endpoint))

    async def watch_abandoned(self, endpoint):
        """Check from time to time whether an endpoint survives the abandoned calls it may run."""
        delay = ABANDONED_CHECK_SECONDS
        try:
            while self.may_run_abandoned(endpoint):
                await asyncio.sleep(delay)
                delay = min(2 * delay, ABANDONED_CHECK_MAX_SECONDS)
                if self.may_run_abandoned(endpoint):
                    await self.check_abandoned(endpoint)
        finally:
            del self.watches[endpoint.lifetime]

    async def check_abandoned(self, endpoint):
        """Record a crash if an endpoint that may run abandoned calls has ended.

        One that cannot be reached may only be cut off; without a connection that broke this is
        no evidence against any call.
        """
        state = await probe_port(endpoint)
        if state is PortState.CLOSED:
            self.record_dead(endpoint, state)

    def record_dead(self, endpoint, state):
        """Record a crash; if the port is closed, abandoned calls may have caused it too."""
        if state is PortState.CLOSED:
            self.crash_tracker.count_abandoned_calls(endpoint.lifetime, self.entry.now())
        self.record_crash(endpoint)

    def may_run_abandoned(self, endpoint):
        """Return whether an endpoint may run abandoned calls, and is not about to end anyway."""
        state, lifetime = self.entry.state, endpoint.lifetime
        listed = lifetime in state.fleet.lifetimes() and not state.is_leaving(endpoint)
        return listed and lifetime in self.crash_tracker.abandoned_calls

    async def check_for_crash(self, endpoint):
        """Check whether an endpoint that cut off a call is dead; if so, record a crash."""
        try:
            await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
            state = await probe_port(endpoint)
            if state is not PortState.OPEN:
                self.record_dead(endpoint, state)
        finally:
            if self.checks.get(endpoint.lifetime) is asyncio.current_task():
                del self.checks[endpoint.lifetime]

    async def wait_for_check(self, endpoint):
        """Wait until it is known whether an endpoint that cut off a call has crashed."""
        check = self.checks.get(endpoint.lifetime)
        if check is not None:
            await asyncio.wait((check,), timeout=MAX_CHECK_SECONDS)

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
                crashes = len(self.crash_tracker.crashes[content].counted)
                self.log.warning(
                    "content_blocked", content=content, crashes=crashes, source="crash"
                )

    def merge_remote(self, found):
        """Merge what another entry reports about crashes in its `Findings`."""
        self.crash_tracker.merge_excused(found.excused, self.entry.now())
        parts = self.crash_tracker.parts
        before = set(parts.blocked())
        parts.merge_remote(found.crashes, found.sound_parts, self.entry.now())
        self.log_blocked(before, found.address)

    def log_blocked(self, before, source):
        """Log the parts that are blocked now and were not `before`; `source` says who knew."""
        for part, crashes in self.crash_tracker.parts.blocked().items():
            if part not in before:
                self.log.warning("part_blocked", part=part, crashes=crashes, source=source)


def quarantined(blocked, retry_after=None):
    """Return the refusal of a call whose content or parts are `blocked`."""
    detail = ", ".join(f"{KEY_NAMES[kind]} {key}" for kind, key in blocked)
    return refuse(Failure(Reason.QUARANTINED, STEP, detail=detail), retry_after)
