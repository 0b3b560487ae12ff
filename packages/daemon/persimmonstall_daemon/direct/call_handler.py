"""Serves a call: checks it, then makes attempts until the caller has its final answer."""

import asyncio

from persimmonstall.direct.retrying import (
    LEAVING_RETRY_AFTER,
    AttemptHistory,
    AttemptOutcome,
    may_retry,
)
from persimmonstall.failures import Failure, Reason, refuse

from ..observe import logs
from .attempt import Attempt
from .attempt_result import AttemptResult
from .endpoint_client import connect_timed_out
from .final_answers import FinalAnswers
from .held_body import discard

STEP = "exchange"

STARTING_RETRY_AFTER_SECONDS = 2.5
"""Retry-After in seconds of an entry without a configuration: it started while the store was
unavailable, so neither an early retry nor another entry would succeed."""

SILENT_ENDPOINT_WEIGHT = 0.5
"""Weight of the failure that is recorded for an endpoint that was left because it was silent."""


class CallHandler:
    """Serves calls; there is one object for the entry and one run of `serve` for each call."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("exchange")
        self.final_answers = FinalAnswers(entry)
        self.checks = (
            self.check_in_time,
            self.check_configured,
            self.check_route,
            self.check_leaving,
        )

    async def serve(self, call, sink):
        """Check a call, run its attempts and give the caller its final answer."""
        self.entry.metrics.count("direct_calls")
        await self.entry.wait_until_configured(call.deadline)
        routed = call
        for check in self.checks:
            routed = check(routed)
            if isinstance(routed, Failure):
                await self.final_answers.refuse(call, sink, routed)
                return
        refusal = await self.entry.crash_reporter.check(routed)
        if refusal is not None:
            await self.final_answers.refuse(call, sink, refusal)
            return
        trial = not self.entry.crash_reporter.may_retry(routed)
        history = AttemptHistory(last_event=call.resume_after, trial=trial)
        started_at = self.entry.now()
        try:
            postponed = None if trial else await self.entry.admission.admit(routed)
            if postponed is not None:
                result = AttemptResult(AttemptOutcome.OVERDUE, postponed)
            else:
                result = await self.run(routed, sink, history)
        except asyncio.CancelledError:
            self.log_caller_left(routed, history, started_at, sink.seconds_since_close())
            raise
        try:
            await self.final_answers.finish(routed, sink, history, result, started_at)
        finally:
            self.entry.answer_memory.release(sink)
            discard(result.body)

    def check_in_time(self, call):
        """Refuse a call whose deadline passed while it waited for the configuration."""
        if self.entry.now() < call.deadline:
            return call
        return refuse(Failure(Reason.DEADLINE, "configure", detail="passed before it was sent"))

    def check_configured(self, call):
        """Refuse calls until this entry knows the configuration and the endpoints."""
        if self.entry.state.ready:
            return call
        failure = Failure(Reason.NO_ENDPOINT, "configure", detail="no configuration received yet")
        return refuse(failure, STARTING_RETRY_AFTER_SECONDS)

    def check_route(self, call):
        """Return the call with its route, service and organisation."""
        return self.entry.state.routes.admit(call)

    def check_leaving(self, routed):
        """Refuse a call that might not end before this process exits."""
        if self.entry.ends_before_exit(routed.deadline):
            return routed
        return refuse(Failure(Reason.LEAVING, "leaving"), LEAVING_RETRY_AFTER)

    async def run(self, routed, sink, history):
        """Make attempts until one is final or time is up; return the last `AttemptResult`."""
        last = AttemptResult(AttemptOutcome.OVERDUE)
        placed = None
        self.entry.state.budget.record_call(routed.service.name, self.entry.now())
        placed_at = self.entry.now()
        try:
            async with self.entry.time_limits.until(routed.deadline):
                while True:
                    last = await self.attempt(routed, sink, history, placed)
                    placed = last.followed_by
                    if placed is None and not self.should_retry(routed, history, last):
                        self.entry.admission.record_served(routed, self.entry.now() - placed_at)
                        return last
        except TimeoutError:
            outlives_entry = routed.deadline > self.entry.exits_at
            return overdue_result(Reason.LEAVING if outlives_entry else Reason.DEADLINE, last)

    def should_retry(self, routed, history, result):
        """Return whether to make another attempt; if so, charge it to the shared retry budget."""
        if not may_retry(routed, history, result.ending):
            return False
        if self.is_quarantined(routed, history, result.ending):
            self.log.warning("retry_quarantined", request_id=routed.call.call_id)
            return False
        taken = self.entry.state.budget.try_acquire(routed.service.name, self.entry.now())
        if not taken:
            self.log.warning(
                "retry_denied", request_id=routed.call.call_id, service=routed.service.name
            )
        return taken

    def is_quarantined(self, routed, history, ending=AttemptOutcome.NOT_RUN):
        """Return whether a call is not sent (again), since it may crash endpoints.

        `ending` is that of its last attempt; a trial is sent until it may have run.
        """
        if history.trial and ending is AttemptOutcome.NOT_RUN:
            return False
        return not self.entry.crash_reporter.may_retry(routed)

    async def prepare_retry(self, routed, history, endpoint):
        """Return the attempt that may follow one at a silent endpoint, None if there is none.

        It is charged to the shared retry budget, and placed at an endpoint with a free slot.  It
        does not wait for its turn at a cold one, as nobody reads from the silent one meanwhile.
        """
        state, service = self.entry.state, routed.service.name
        after = history.after(endpoint.name, AttemptOutcome.LATE)
        if not may_retry(routed, after, AttemptOutcome.LATE):
            return None
        if not self.entry.crash_reporter.may_retry(routed):
            return None
        if not state.budget.has_room(service, self.entry.now()):
            return None
        name = self.entry.new_attempt_name()
        placed = await self.entry.chooser.choose(routed, name, after, patient=False)
        if isinstance(placed, Failure) or not state.placer.has_free_slot(placed.request.endpoint):
            return None
        return placed if state.budget.try_acquire(service, self.entry.now()) else None

    async def attempt(self, routed, sink, history, placed=None):
        """Run one attempt, which is `placed` already or whose endpoints are chosen now.

        One that was placed a while ago is placed anew if a permit of it has expired.
        """
        entry = self.entry
        if placed is None or entry.state.cold.unpermitted(placed, entry.now()) is not None:
            placed = await self.choose(routed, history)
        if isinstance(placed, Failure):
            return AttemptResult(AttemptOutcome.OVERDUE, placed)
        if self.is_quarantined(routed, history):
            failure = Failure(Reason.QUARANTINED, STEP, detail="blocked before it was sent")
            return AttemptResult(AttemptOutcome.OVERDUE, failure)
        self.log_placed(routed, placed, history, entry.now())
        attempt = Attempt(entry, routed, placed, history, sink)
        entry.loads.begin(placed.attempt)
        try:
            result = await entry.reservations.run(routed, placed, attempt.run)
        except asyncio.CancelledError:
            self.log_abandoned(routed, attempt, sink)
            if attempt.sent:
                entry.crash_reporter.record_abandoned(
                    routed, attempt.endpoint, attempt.batches_relayed
                )
            raise
        finally:
            entry.loads.end(placed.attempt.name)
        endpoint = self.responsible_endpoint(placed, result)
        history.attempt_ended(endpoint.name, result.ending)
        if result.failure is not None and connect_timed_out(result.failure):
            history.unreached_endpoints.add(endpoint.name)
        self.record_result(routed, endpoint, result)
        if may_retry(routed, history, result.ending):
            await entry.crash_reporter.wait_for_check(endpoint)
        return result

    async def choose(self, routed, history):
        """Return the `PlacedAttempt` of the next attempt, or a `Failure`.

        A call that may have run, so that it can't be refused, may go to an endpoint that could not
        be reached in time before.
        """
        chooser, name = self.entry.chooser, self.entry.new_attempt_name()
        placed = await chooser.choose(routed, name, history)
        lost = isinstance(placed, Failure) and history.may_have_run
        if lost and history.try_unreached_again():
            placed = await chooser.choose(routed, name, history)
        return placed

    def responsible_endpoint(self, placed, result):
        """Return the endpoint that determined the result: the one that was called, or a helper."""
        for helper in placed.request.helpers:
            if result.blamed_address and helper.endpoint.address == result.blamed_address:
                return helper.endpoint
        return placed.request.endpoint

    def record_result(self, routed, endpoint, result):
        """Update the failure score and lost connections of an endpoint by an attempt's result."""
        state, now = self.entry.state, self.entry.now()
        if result.ending is AttemptOutcome.WHOLE:
            self.record_success(endpoint, now)
            self.entry.crash_reporter.record_whole(routed)
            return
        self.entry.metrics.count("direct_failed_attempts", tag=str(result.ending))
        if result.failure is not None:
            logs.log_failure(
                self.log,
                "attempt_failed",
                result.failure,
                request_id=routed.call.call_id,
                ending=str(result.ending),
                endpoint=endpoint.name,
            )
        if result.ending is AttemptOutcome.WRONG_ENDPOINT:
            state.drop_endpoint(endpoint.name, now)
        elif result.followed_by is not None:
            state.failure_scores.record_failure(endpoint.name, now, SILENT_ENDPOINT_WEIGHT)
        elif not result.notice:
            state.failure_scores.record_failure(endpoint.name, now)
        self.entry.crash_reporter.record_lost(routed, endpoint, result)

    def record_success(self, endpoint, now):
        """Record a complete answer; log if another data centre reported failures."""
        if self.entry.state.failure_scores.record_success(endpoint.name, now):
            self.entry.metrics.count("direct_reports_refuted")
            self.log.info("report_refuted", endpoint=endpoint.name, report="failures")

    def log_placed(self, routed, placed, history, now):
        """Log which endpoint an attempt goes to and the data behind the choice."""
        state = self.entry.state
        way = state.placer.seconds_of_way(routed, placed.request.endpoint)
        if way:
            self.entry.metrics.count("direct_remote_attempts")
        self.log.info(
            "placed",
            request_id=routed.call.call_id,
            endpoint=placed.request.endpoint.name,
            way_ms=round(way * 1000, 1),
            route=routed.route.name,
            organisation=routed.organisation.name if routed.organisation else "",
            sending=history.attempts + 1,
            resume_after=history.last_event,
            tokens=routed.call.prompt_tokens,
            helpers=[helper.endpoint.name for helper in placed.request.helpers],
            tickets=len(placed.tickets),
            request_limit=state.request_limits.rate(placed.request.endpoint.lifetime),
            expected_ms=round(placed.predicted_first_event * 1000),
            left_ms=round((routed.deadline - now) * 1000),
            endpoints_revision=state.fleet.revision,
            **self.entry.provenance.fields(),
        )

    def log_abandoned(self, routed, attempt, sink):
        """Log an attempt that ends since its caller left, and what may have delayed that."""
        sent_at = attempt.sent_at
        self.log.info(
            "attempt_abandoned",
            request_id=routed.call.call_id,
            endpoint=attempt.endpoint.name,
            sent_ms=None if sent_at is None else round((self.entry.now() - sent_at) * 1000),
            events=attempt.batches_relayed,
            since_close_ms=round(sink.seconds_since_close() * 1000),
            loop_lag_ms=round(self.entry.ticker.lag * 1000),
            reading_paused=sink.connection.reading_paused,
        )

    def log_caller_left(self, routed, history, started_at, since_close):
        """Log a call whose caller left; its attempt has ended `since_close` seconds later."""
        self.entry.metrics.count("direct_callers_left")
        self.log.info(
            "caller_left",
            request_id=routed.call.call_id,
            route=routed.route.name,
            sendings=history.attempts,
            last_event=history.last_event,
            took_ms=round((self.entry.now() - started_at) * 1000),
            since_close_ms=round(since_close * 1000),
        )


def overdue_result(reason, last):
    """Return the result of a call whose time is up; `last` is that of its latest attempt."""
    detail = "" if last.failure is None else f"after {last.failure.reason}: {last.failure.detail}"
    peer = "" if last.failure is None else last.failure.peer
    return AttemptResult(AttemptOutcome.OVERDUE, Failure(reason, STEP, peer, detail))
