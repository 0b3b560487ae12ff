"""The way of a call: checks, then attempts until the caller has its final answer."""

import asyncio

from persimmonstall.direct.messages import Reply
from persimmonstall.direct.retrying import AttemptHistory, AttemptOutcome, final_refusal, may_retry
from persimmonstall.failures import Failure, Outcome, Reason, Refusal, refuse

from ..observe import logs
from .attempt import Attempt, Ended
from .endpoint_client import accepts_connections

STEP = "exchange"

REPLY_MARGIN = 0.03
"""Seconds kept back to answer before the deadline."""

STARTING_RETRY_AFTER = 2.5
"""Seconds after which a caller may come back to an entry that knows no configuration: it started
while the store was away, so that neither the next attempt nor another entry would fare better."""

PASS_SECONDS = 0.07
"""Usual time between two events of a stream."""

ANSWER_MARGIN = 1.5
"""How many times its estimate an answer may be long."""

LEAVING_RETRY_AFTER = 0.05
"""Seconds after which a caller may come back whose next connection leads to another entry."""

CRASH_LOOK_SECONDS = 0.02
"""Seconds after an endpoint broke off at which it is asked whether it still lives."""

DEAD_TROUBLE = 2.0
"""Trouble score of an endpoint that is dead."""


class CallHandler:
    """Serves calls; one instance for the entry, one `serve` for each call."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("exchange")
        self.deadlines = {}
        self.checks = (
            self.check_configured,
            self.check_route,
            self.check_content,
            self.check_leaving,
        )

    async def serve(self, call, sink):
        """Give the caller its final answer as soon as it is known."""
        self.entry.metrics.count("direct_calls")
        await self.entry.configured(call.arrived)
        routed = call
        for check in self.checks:
            routed = check(routed)
            if isinstance(routed, Failure):
                await self.refuse(call, sink, routed)
                return
        history = AttemptHistory(last_event=call.resume_after)
        begun = self.entry.now()
        ended = await self.run(routed, sink, history)
        await self.finish(routed, sink, history, ended, begun)

    def check_configured(self, call):
        """Pass a call on once this entry knows configuration and endpoints."""
        if self.entry.state.ready:
            return call
        failure = Failure(Reason.NO_ENDPOINT, "configure", detail="no configuration known yet")
        return refuse(failure, STARTING_RETRY_AFTER)

    def check_route(self, call):
        """Return the call with its route, service and organisation."""
        return self.entry.state.routes.admit(call)

    def check_content(self, routed):
        """Refuse content that has crashed several endpoints."""
        if self.entry.state.crash_tracker.is_blocked(routed.content, self.entry.now()):
            return Refusal(Reason.QUARANTINED, "content", outcome=Outcome.NOT_RUN)
        return routed

    def check_leaving(self, routed):
        """Refuse work that would not end before this process does."""
        if self.entry.has_time_for(expected_seconds(routed)):
            return routed
        return refuse(Failure(Reason.LEAVING, "leaving"), LEAVING_RETRY_AFTER)

    async def run(self, routed, sink, history):
        """Make attempts up to the deadline; return how the last one `Ended`."""
        last = Ended(AttemptOutcome.OVERDUE)
        left = routed.deadline - REPLY_MARGIN - self.entry.now()
        self.entry.state.budget.record_call(routed.service.name, self.entry.now())
        limit = asyncio.timeout(max(0.0, left))
        try:
            async with limit:
                self.deadlines[limit] = routed.deadline
                while True:
                    last = await self.attempt(routed, sink, history)
                    if not self.goes_on(routed, history, last):
                        return last
        except TimeoutError:
            return last_failure(last)
        finally:
            self.deadlines.pop(limit, None)

    def reschedule_deadlines(self):
        """Set all deadlines anew after a time in which the event loop's clock stood still."""
        loop = asyncio.get_running_loop()
        running = [(limit, due) for limit, due in self.deadlines.items() if not limit.expired()]
        for limit, deadline in running:
            left = deadline - REPLY_MARGIN - self.entry.now()
            limit.reschedule(loop.time() + max(0.0, left))

    def goes_on(self, routed, history, ended):
        """Say whether another attempt is made, and take it from the shared budget."""
        if not may_retry(routed, history, ended.ending):
            return False
        taken = self.entry.state.budget.try_acquire(routed.service.name, self.entry.now())
        if not taken:
            self.log.warning(
                "retry_denied", request_id=routed.call.call_id, service=routed.service.name
            )
        return taken

    async def attempt(self, routed, sink, history):
        """Place and run one attempt."""
        entry = self.entry
        now = entry.now()
        name = entry.new_attempt_name()
        placed = entry.state.placer.place(
            routed, now, name, history.tried_endpoints, history.last_event
        )
        if isinstance(placed, Failure):
            return Ended(AttemptOutcome.OVERDUE, placed)
        self.log_placed(routed, placed, history, now)
        attempt = Attempt(entry, routed, placed, history, sink)
        entry.loads.begin(placed.attempt)
        try:
            ended = await entry.tickets.run(routed, placed, attempt.run)
        finally:
            entry.loads.end(placed.attempt.name)
        endpoint = self.responsible(placed, ended)
        history.attempt_ended(endpoint.name, ended.ending)
        self.learn(routed, endpoint, ended)
        return ended

    def responsible(self, placed, ended):
        """Return the endpoint that decided how an attempt ended: the first, or a helper."""
        for helper in placed.request.helpers:
            if ended.blamed_address and helper.endpoint.address == ended.blamed_address:
                return helper.endpoint
        return placed.request.endpoint

    def learn(self, routed, endpoint, ended):
        """Take from an attempt's end what it says about an endpoint."""
        state, now = self.entry.state, self.entry.now()
        if ended.ending is AttemptOutcome.WHOLE:
            state.failure_scores.record_success(endpoint.name, now)
            return
        self.entry.metrics.count("direct_failed_attempts", tag=str(ended.ending))
        if ended.failure is not None:
            logs.log_failure(
                self.log,
                "attempt_failed",
                ended.failure,
                request_id=routed.call.call_id,
                ending=str(ended.ending),
                endpoint=endpoint.name,
            )
        if ended.ending is AttemptOutcome.WRONG_ENDPOINT:
            state.fleet.endpoints.pop(endpoint.name, None)
        else:
            state.failure_scores.record_failure(endpoint.name, now)
        if ended.ending is AttemptOutcome.BROKEN and not ended.began:
            state.crash_tracker.record_lost_connection(routed.content, endpoint.lifetime, now)
            self.entry.spawn(self.look_for_crash(endpoint))

    async def look_for_crash(self, endpoint):
        """Find out whether an endpoint that broke off is dead, and what killed it."""
        await asyncio.sleep(CRASH_LOOK_SECONDS)
        if await accepts_connections(endpoint):
            return
        state, now = self.entry.state, self.entry.now()
        state.failure_scores.record_failure(endpoint.name, now, DEAD_TROUBLE)
        contents = state.crash_tracker.confirm_crash(endpoint.lifetime, now)
        self.log.warning("endpoint_crashed", endpoint=endpoint.name, contents=contents)
        self.entry.peers.changed(True)

    def log_placed(self, routed, placed, history, now):
        """Write down where an attempt goes and what decided it."""
        state = self.entry.state
        self.log.info(
            "placed",
            request_id=routed.call.call_id,
            endpoint=placed.request.endpoint.name,
            route=routed.route.name,
            organisation=routed.organisation.name if routed.organisation else "",
            sending=history.attempts + 1,
            resume_after=history.last_event,
            tokens=routed.call.prompt_tokens,
            helpers=[helper.endpoint.name for helper in placed.request.helpers],
            tickets=len(placed.tickets),
            expected_ms=round(placed.predicted_first_event * 1000),
            left_ms=round((routed.deadline - now) * 1000),
            configuration=state.configuration.version,
            endpoints_revision=state.fleet.version,
            directory_age_ms=round((now - state.directory_seen_at) * 1000),
        )

    async def finish(self, routed, sink, history, ended, begun):
        """Give the caller the end of its answer, the endpoint's error, or a refusal."""
        took = self.entry.now() - begun
        self.entry.metrics.timing("direct_answer", took)
        if ended.ending is AttemptOutcome.WHOLE and sink.started:
            await sink.finish()
        elif ended.head is not None and not sink.started:
            await self.pass_whole(sink, ended)
        elif sink.started:
            sink.abort()
            self.entry.metrics.count("direct_broken_off")
        else:
            now = self.entry.now() + REPLY_MARGIN
            failure = ended.failure
            if failure is None:
                failure = Failure(Reason.ENDPOINT_LOST, STEP)
            await self.refuse(
                routed.call,
                sink,
                final_refusal(routed, history, failure, now, self.entry.clock.random),
            )
            return
        self.log_answered(routed, history, ended, begun, took)

    def log_answered(self, routed, history, ended, begun, took):
        """Write down how a call ended that was not refused, and what its caller saw."""
        first = took if history.first_event_at is None else history.first_event_at - begun
        self.entry.metrics.timing("direct_first_event", first)
        self.log.info(
            "answered" if ended.ending is AttemptOutcome.WHOLE else "ended",
            request_id=routed.call.call_id,
            route=routed.route.name,
            ending=str(ended.ending),
            status=ended.head.status if ended.head else 0,
            sendings=history.attempts,
            last_event=history.last_event,
            first_ms=round(first * 1000),
            gap_ms=round(history.longest_gap * 1000),
            took_ms=round(took * 1000),
        )

    async def pass_whole(self, sink, ended):
        """Give the caller an endpoint's whole answer."""
        headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in ended.head.headers)
        await sink.reply(Reply(ended.head.status, headers, ended.body))

    async def refuse(self, call, sink, failure):
        """Give the caller a refusal and write down why."""
        refusal = failure if isinstance(failure, Refusal) else refuse(failure)
        reply = self.entry.dialect.refusal_reply(refusal)
        self.entry.metrics.count("direct_refusals", tag=str(refusal.reason))
        logs.log_failure(
            self.log,
            "refused",
            refusal,
            request_id=call.call_id,
            outcome=str(refusal.outcome),
            status=reply.status,
            retry_after=refusal.retry_after,
        )
        await sink.reply(reply)


def last_failure(last):
    """Return how a call `Ended` whose deadline passed, after the attempt that ended last."""
    detail = "" if last.failure is None else f"after {last.failure.reason}: {last.failure.detail}"
    peer = "" if last.failure is None else last.failure.peer
    return Ended(AttemptOutcome.OVERDUE, Failure(Reason.DEADLINE, STEP, peer, detail))


def expected_seconds(routed):
    """Return the time that a call is expected to take, with some margin."""
    call, route, figures = routed.call, routed.route, routed.service.engine
    if figures is None:
        return route.timeout
    tokens = ANSWER_MARGIN * (call.output_estimate or call.max_output_tokens)
    passes = min(tokens, call.max_output_tokens) / figures.stride
    return min(route.timeout, route.objective + passes * PASS_SECONDS)
