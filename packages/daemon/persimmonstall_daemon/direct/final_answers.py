"""Gives callers their final answers: the end of an endpoint's answer, or a refusal."""

import asyncio

from persimmonstall.direct.messages import Reply
from persimmonstall.direct.retrying import AttemptOutcome, final_refusal
from persimmonstall.failures import Failure, Reason, Refusal, refuse

from ..exact_headers import to_text
from ..observe import logs
from .time_limits import REPLY_MARGIN_SECONDS

STEP = "exchange"

MIN_SEND_SECONDS = 2.0
"""Shortest time for a caller to read the end of its answer, also after the deadline."""


class FinalAnswers:
    """Sends and logs the final answers of an entry's calls."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("exchange")

    async def finish(self, routed, sink, history, result, started_at):
        """Send the end of the answer, the endpoint's error, or a refusal; or abort the answer."""
        elapsed = self.entry.now() - started_at
        self.entry.metrics.timing("direct_answer", elapsed)
        if result.ending is AttemptOutcome.WHOLE and sink.started:
            await self.send(routed, sink, sink.finish())
        elif result.head is not None and not sink.started:
            await self.send(routed, sink, self.relay_answer(sink, result))
        elif sink.started:
            sink.abort()
            self.entry.metrics.count("direct_broken_off")
        else:
            now = self.entry.now() + REPLY_MARGIN_SECONDS
            failure = result.failure
            if failure is None:
                failure = Failure(Reason.ENDPOINT_LOST, STEP)
            await self.refuse(
                routed.call,
                sink,
                final_refusal(routed, history, failure, now, self.entry.clock.random),
            )
            return
        self.log_answered(routed, history, result, started_at, elapsed)

    async def send(self, routed, sink, sending):
        """Await the end of an answer; break it off if the caller does not read it in time."""
        seconds = max(MIN_SEND_SECONDS, routed.deadline - self.entry.now())
        try:
            async with asyncio.timeout(seconds):
                await sending
        except TimeoutError:
            self.log.warning(
                "answer_unread", request_id=routed.call.call_id, seconds=round(seconds, 2)
            )
            sink.abort()

    def log_answered(self, routed, history, result, started_at, elapsed):
        """Log the result of a call that was not refused, with the latencies its caller saw."""
        first = elapsed if history.first_event_at is None else history.first_event_at - started_at
        self.entry.metrics.timing("direct_first_event", first)
        self.log.info(
            "answered" if result.ending is AttemptOutcome.WHOLE else "ended",
            request_id=routed.call.call_id,
            route=routed.route.name,
            ending=str(result.ending),
            status=result.head.status if result.head else 0,
            sendings=history.attempts,
            last_event=history.last_event,
            first_ms=round(first * 1000),
            gap_ms=round(history.longest_gap * 1000),
            took_ms=round(elapsed * 1000),
        )

    async def relay_answer(self, sink, result):
        """Give the caller an endpoint's complete answer."""
        headers = tuple((to_text(n), to_text(v)) for n, v in result.head.headers)
        await sink.reply(Reply(result.head.status, headers, result.body))

    async def refuse(self, call, sink, failure):
        """Send the caller a refusal and log its reason."""
        refusal = failure
        if not isinstance(failure, Refusal):
            refusal = refuse(failure, getattr(failure, "delay", None))
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
            **self.entry.provenance.fields(),
        )
        await sink.reply(reply)
