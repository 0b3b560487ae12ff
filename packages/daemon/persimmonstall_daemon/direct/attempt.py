"""One attempt of a call at one endpoint: sends it, checks the answer and relays it."""

import asyncio

import attrs

from persimmonstall.direct.events import EventReader
from persimmonstall.direct.messages import ResponseKind
from persimmonstall.direct.notices import NOTHING, Notice
from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure, Reason

from .attempt_result import AttemptResult
from .attempt_timeouts import AttemptTimeouts
from .connecting import wait_past_suspension
from .endpoint_client import NOT_CONNECTED_IN_TIME, never_connected
from .held_body import BodyBuffer
from .silence_watch import SilenceWatch

STEP = "relay"

MIN_LISTENING_SECONDS = 0.1
"""Time after its sending for which an attempt that has ended waits for the head of its answer: an
endpoint that refuses a call does so at once, and may ask for a pause."""


class Attempt:
    """Runs a routed call at the endpoint in `placed`; `history` records the earlier attempts."""

    def __init__(self, entry, routed, placed, history, sink):
        self.entry = entry
        self.routed = routed
        self.placed = placed
        self.history = history
        self.sink = sink
        self.answer = None
        self.sent_at = None
        self.first_event_at = None
        self.batches_relayed = 0
        self.dropped = False
        self.body = None
        self.watch = SilenceWatch(self)
        self.timeouts = AttemptTimeouts(self)

    @property
    def endpoint(self):
        """The endpoint that runs the call."""
        return self.placed.request.endpoint

    @property
    def sent(self):
        """Whether the head of the request was sent, so that the endpoint may run the call."""
        return self.sent_at is not None

    async def run(self):
        """Run the attempt and return its `AttemptResult`.

        The connection is closed before this returns, which ends the call at the endpoint too; that
        of a call which was sent just now is closed a moment later.
        """
        unwanted = self.unwanted_result()
        if unwanted is not None:
            return unwanted
        self.watch.restart()
        try:
            result = await self.send_and_relay()
        except TimeoutError:
            result = self.late_result()
        finally:
            if self.answer is not None:
                self.answer.close()
        return attrs.evolve(
            result,
            batches_relayed=self.batches_relayed,
            followed_by=self.watch.followed_by,
            notice=NOTHING if self.answer is None else self.answer.head.notice,
        )

    def unwanted_result(self):
        """Return the result of an attempt that one of its endpoints no longer accepts, or None.

        It may have said so while the attempt waited for a permit or for memory.
        """
        state, now = self.entry.state, self.entry.now()
        cold = state.cold.unpermitted(self.placed, now)
        if cold is not None:
            return self.unwanted(cold, "it is cold, and there is no permit any more")
        for endpoint in self.placed.endpoints:
            if state.accepts(endpoint, now):
                continue
            pause = state.notices.seconds_paused(endpoint.lifetime, now)
            return self.unwanted(endpoint, "it accepts no new calls", pause)
        return None

    def unwanted(self, endpoint, detail, pause=0.0):
        """Return the result of an attempt that is not sent, since an endpoint must not get it."""
        return AttemptResult(
            AttemptOutcome.NOT_RUN,
            Failure(Reason.BUSY, STEP, endpoint.name, detail),
            blamed_address=endpoint.address,
            notice=Notice(leaving=not pause, pause=pause or None),
        )

    async def send_and_relay(self):
        """Send the call and relay its answer; raise TimeoutError if the endpoint is too slow."""
        self.history.attempt_sent()
        sending = asyncio.ensure_future(self.send())
        try:
            answer = await self.watch.receive(
                lambda timeout: wait_past_suspension(asyncio.shield(sending), timeout),
                self.timeouts.initial(),
            )
        finally:
            await self.end_sending(sending)
        if isinstance(answer, Failure):
            return self.unanswered_result(answer)
        return await self.relay()

    def record_sent(self):
        """Record that the head of the request was sent."""
        self.sent_at = self.entry.now()
        self.watch.record_sent()

    async def end_sending(self, sending):
        """Cancel the sending, but if the call was sent just now only after a moment.

        With memory reserved for the call it is cancelled at once, since that is released next.
        """
        seconds = 0.0
        if self.sent and not self.placed.tickets:
            seconds = self.sent_at + MIN_LISTENING_SECONDS - self.entry.now()
        if seconds > 0 and not sending.done():
            self.entry.spawn(self.listen_for_head(sending, seconds))
        elif sending.cancel():
            await asyncio.wait((sending,))

    async def listen_for_head(self, sending, seconds):
        """Wait for the head of an answer that nobody needs; then close the connection."""
        try:
            await asyncio.wait((sending,), timeout=seconds)
        finally:
            sending.cancel()
            if self.answer is not None:
                self.answer.close()

    async def send(self):
        """Send the call; keep its answer at once, so that `run` closes it in any case.

        What its head says of later calls holds although the caller may leave right now.
        """
        started_at = self.entry.now()
        answer = await self.entry.client.send(self.routed, self.placed.request, self.record_sent)
        if not isinstance(answer, Failure):
            self.answer = answer
            self.entry.limits.record_answer(self.endpoint, answer.head, started_at)
            self.entry.cold.record_answer(self.endpoint, answer.head)
            self.entry.notices.record_answer(self.endpoint, answer.head)
        return answer

    def unanswered_result(self, failure):
        """Return the result of an attempt that failed before the head of an answer arrived."""
        if never_connected(failure):
            return AttemptResult(AttemptOutcome.NOT_RUN, failure)
        return AttemptResult(AttemptOutcome.BROKEN, failure)

    def late_result(self):
        """Return the result of an attempt that was left because its endpoint was too slow."""
        if self.sent:
            detail = "timed out waiting for the endpoint"
            return self.failed_result(AttemptOutcome.LATE, Reason.ENDPOINT_LOST, detail)
        detail = f"{NOT_CONNECTED_IN_TIME}: left for another endpoint"
        return self.failed_result(AttemptOutcome.NOT_RUN, Reason.ENDPOINT_LOST, detail)

    def failed_result(self, ending, reason, detail=""):
        """Return the result of an attempt that failed at its endpoint."""
        return AttemptResult(ending, Failure(reason, STEP, self.endpoint.name, detail))

    async def relay(self):
        """Check the head of the answer and relay the body."""
        head = self.answer.head
        if head.kind is ResponseKind.NOT_RUN:
            refused = self.failed_result(
                AttemptOutcome.NOT_RUN, Reason.BUSY, f"status {head.status}"
            )
            return attrs.evolve(refused, blamed_address=self.helper_at_fault(head))
        if head.kind is ResponseKind.WRONG_ENDPOINT:
            return self.failed_result(
                AttemptOutcome.WRONG_ENDPOINT,
                Reason.NO_ENDPOINT,
                "the endpoint was replaced or restarted",
            )
        if head.kind is ResponseKind.INVALID:
            return self.failed_result(
                AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, "the answer belongs to another call"
            )
        return await self.relay_body()

    async def relay_body(self):
        """Relay an event stream or collect another body, and account for the memory it takes."""
        head = self.answer.head
        success = head.kind is ResponseKind.SUCCESS
        if success and self.history.response_started and not head.event_stream:
            return self.failed_result(
                AttemptOutcome.BROKEN,
                Reason.ENDPOINT_ERROR,
                f"status {head.status} without events in place of the rest of a stream",
            )
        result = None
        try:
            if head.event_stream and success:
                result = await self.relay_events()
            else:
                result = await self.collect_answer()
            return result
        finally:
            if result is None or not result.body:
                self.entry.answer_memory.release(self.sink)

    def drop(self):
        """Give up the answer, since the answers in progress take too much memory."""
        self.dropped = True
        if self.body is not None:
            self.body.discard()
        self.answer.close()

    def broken_result(self, failure):
        """Return the result of an attempt whose answer was cut off or rejected."""
        if self.dropped:
            return self.too_large("the largest of the answers in progress, which are too many")
        return AttemptResult(AttemptOutcome.BROKEN, attrs.evolve(failure, peer=self.endpoint.name))

    def too_large(self, detail):
        """Return the result of an attempt whose answer is given up for its size."""
        return self.failed_result(AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, detail)

    def helper_at_fault(self, head):
        """Return the address of the helper that the answer names as the cause, empty for none."""
        helpers = {helper.endpoint.address for helper in self.placed.request.helpers}
        return head.blamed_address if head.blamed_address in helpers else ""

    async def collect_answer(self):
        """Read a non-streamed answer; the caller gets it only once it is complete."""
        self.watch.decide_at = None
        self.body = BodyBuffer(self.entry.settings.direct.answer_bytes)
        try:
            failed = await self.read_answer()
        except BaseException:
            self.body.discard()
            raise
        if failed is not None:
            self.body.discard()
            return failed
        self.entry.answer_memory.reading_ended(self.sink)
        head = self.answer.head
        error = head.kind is ResponseKind.ENDPOINT_ERROR
        ending = AttemptOutcome.ENDPOINT_ERROR if error else AttemptOutcome.WHOLE
        return AttemptResult(ending, head=head, body=self.body.content())

    async def read_answer(self):
        """Read the answer into `self.body`; return the `AttemptResult` if that fails, or None."""
        body = self.body
        timeout = self.timeouts.rest_of_answer()
        size = self.answer.announced_bytes
        while size <= body.limit:
            data = await self.watch.receive(self.answer.read, timeout)
            if isinstance(data, Failure) or self.dropped:
                return self.broken_result(data)
            if not data:
                return None
            size = body.size + len(data)
            if size <= body.limit:
                body.add(data)
            self.entry.answer_memory.hold(self.sink, size, self)
        return self.too_large(f"an answer of {size} bytes or more, the limit is {body.limit}")

    async def relay_events(self):
        """Relay complete events as they arrive."""
        reader = EventReader(last=self.history.last_event)
        timeout = self.timeouts.initial()
        while True:
            data = await self.watch.receive(self.answer.read, timeout)
            if isinstance(data, Failure) or self.dropped:
                return self.broken_result(data)
            if not data:
                break
            complete_events = reader.feed(data)
            self.entry.answer_memory.hold(self.sink, len(reader.buffer), self)
            if reader.too_large:
                return self.too_large(f"an event of {len(reader.buffer)} bytes or more")
            if reader.out_of_order:
                return self.failed_result(
                    AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, "event IDs out of order"
                )
            if complete_events:
                advanced = reader.last > self.history.last_event
                await self.forward_events(complete_events, reader)
                if advanced or not self.routed.route.resumable:
                    self.watch.restart()
                    timeout = self.timeouts.next_event()
        if reader.partial or not self.history.response_started:
            return self.failed_result(
                AttemptOutcome.BROKEN,
                Reason.ENDPOINT_LOST,
                "the stream ended within an event or before the first one",
            )
        return AttemptResult(AttemptOutcome.WHOLE, head=self.answer.head)

    async def forward_events(self, complete_events, reader):
        """Send complete events to the caller, preceded by the head if they are the first."""
        now = self.entry.now()
        if self.batches_relayed:
            events = max(1, reader.last - self.history.last_event)
            gap = now - self.history.last_event_at
            self.entry.loads.record_gap(self.endpoint.name, gap, events)
            self.entry.crash_reporter.record_progress(
                self.routed, self.batches_relayed, now - self.first_event_at
            )
        else:
            self.first_event_at = now
            self.entry.loads.record_first_event(self.placed.attempt.name)
        if not self.sink.started:
            await self.sink.start(self.answer.head.status, self.answer.head.headers)
        self.batches_relayed += 1
        self.history.event_sent(reader.last, now)
        await self.sink.write(complete_events)
