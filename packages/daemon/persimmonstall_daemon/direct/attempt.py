"""One attempt of a call at one endpoint: sends it, checks the answer and relays it."""

import asyncio

import attrs

from persimmonstall.direct.events import EventReader
from persimmonstall.direct.messages import ResponseKind
from persimmonstall.direct.retrying import AttemptOutcome, is_last_run
from persimmonstall.direct.silence import silence_timeouts
from persimmonstall.failures import Failure, Reason

from .endpoint_client import (
    CONNECT_SECONDS,
    accepts_connections,
    never_connected,
    wait_past_suspension,
)

STEP = "relay"

FIRST_EVENT_FACTOR = 2.0
MIN_FIRST_EVENT_SECONDS = 1.2
"""Timeout of the first event: a multiple of the objective, and a minimum in seconds."""

FIRST_ANSWER_FACTOR = 0.6
LAST_ANSWER_FACTOR = 2.5
"""Timeouts of a non-streamed answer, as multiples of the objective: of an attempt that
another one may follow, and of the last attempt."""

GAP_FACTOR = 2.5
MIN_GAP_SECONDS = 1.2
"""Timeout between events: a multiple of the gap objective, and a minimum in seconds."""


@attrs.frozen
class AttemptResult:
    """The result of an attempt; `failure` says why it did not return a complete answer.

    `blamed_address` is the address of a helper endpoint that made the attempt fail, empty for
    none.  `batches_relayed` is how often events of the answer were relayed.  `followed_by` is the
    `PlacedAttempt` for which a silent endpoint was left, None for none.
    """

    ending: AttemptOutcome
    failure: Failure | None = None
    head: object = None
    body: bytes = b""
    blamed_address: str = ""
    batches_relayed: int = 0
    followed_by: object = None


class Attempt:
    """Runs a routed call at the endpoint in `placed`; `history` records the earlier attempts."""

    def __init__(self, entry, routed, placed, history, sink):
        self.entry = entry
        self.routed = routed
        self.placed = placed
        self.history = history
        self.sink = sink
        self.answer = None
        self.batches_relayed = 0
        self.heard_at = 0.0
        self.followed_by = None

    @property
    def endpoint(self):
        """The endpoint that runs the call."""
        return self.placed.request.endpoint

    async def run(self):
        """Run the attempt and return its `AttemptResult`.

        The connection is closed before this returns, which ends the call at the endpoint too.
        """
        started_at = self.heard_at = self.entry.now()
        try:
            result = await self.send_and_relay(started_at)
        except TimeoutError:
            result = self.failed_result(
                AttemptOutcome.LATE, Reason.ENDPOINT_LOST, "timed out waiting for the endpoint"
            )
        finally:
            if self.answer is not None:
                self.answer.close()
        return attrs.evolve(
            result, batches_relayed=self.batches_relayed, followed_by=self.followed_by
        )

    async def send_and_relay(self, started_at):
        """Send the call and relay its answer; raise TimeoutError if the endpoint is too slow."""
        self.history.attempt_sent()
        sending = asyncio.ensure_future(self.send())
        try:
            answer = await self.receive(
                lambda timeout: wait_past_suspension(asyncio.shield(sending), timeout),
                self.initial_timeout(),
            )
        finally:
            if sending.cancel():
                await asyncio.wait((sending,))
        if isinstance(answer, Failure):
            return self.unanswered_result(answer)
        return await self.relay(started_at)

    async def receive(self, read, timeout):
        """Return the result of `read(seconds)`; raise TimeoutError to leave a silent endpoint.

        `timeout` counts from the last event.  A sound endpoint may go on, so one that accepts
        connections is left later, and only for an attempt that is certain to follow.
        """
        usual = 0.0 if self.batches_relayed else self.placed.predicted_first_event
        timeouts = silence_timeouts(
            self.routed.route, timeout, self.longest_wait(), usual, CONNECT_SECONDS
        )
        while True:
            try:
                result = await read(timeouts.seconds_to_next(self.silent_seconds()))
            except TimeoutError:
                await self.bear_silence(timeouts)
                continue
            if not isinstance(result, Failure):
                self.entry.state.failure_scores.record_sign_of_life(self.endpoint.name)
            return result

    async def bear_silence(self, timeouts):
        """Return to wait on for a silent endpoint; raise TimeoutError to leave it."""
        silent = self.silent_seconds()
        if silent >= timeouts.end:
            raise TimeoutError
        if silent >= timeouts.leave:
            self.followed_by = await self.entry.call_handler.prepare_retry(
                self.routed, self.history, self.endpoint
            )
        self.record_silence()
        if self.followed_by is not None:
            raise TimeoutError
        if silent >= timeouts.check and not await accepts_connections(self.endpoint):
            raise TimeoutError

    def record_silence(self):
        """Record that the endpoint is silent, unless a helper may be the one that is."""
        if not self.placed.request.helpers:
            self.entry.state.failure_scores.record_silence(self.endpoint.name, self.entry.now())

    def silent_seconds(self):
        """Return the seconds since the last event, or since the call was sent."""
        return self.entry.now() - self.heard_at

    def longest_wait(self):
        """Return the seconds from the last event, or from the sending, to the deadline."""
        return self.routed.deadline - self.heard_at

    async def send(self):
        """Send the call; keep its answer at once, so that `run` closes it in any case."""
        answer = await self.entry.client.send(self.routed, self.placed.request)
        if not isinstance(answer, Failure):
            self.answer = answer
        return answer

    def initial_timeout(self):
        """Return the timeout in seconds of the first event, or of a non-streamed answer.

        Only calls that may be repeated time out before their deadline, and of streams that the
        caller has a part of only those that may go on at another endpoint.  A non-streamed call
        times out early while another endpoint can still answer within the objective.
        """
        route = self.routed.route
        remaining = self.longest_wait()
        last = is_last_run(self.routed, self.history)
        if not route.repeatable or (last and self.history.response_started):
            return remaining
        if route.streaming:
            timeout = max(MIN_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * route.objective)
            return min(remaining, timeout + self.placed.predicted_first_event)
        factor = LAST_ANSWER_FACTOR if last else FIRST_ANSWER_FACTOR
        return min(remaining, factor * route.objective)

    def read_timeout(self):
        """Return the timeout of the next event, or of the rest of a non-streamed answer.

        Only a stream that another endpoint may resume times out before its deadline.
        """
        remaining = self.longest_wait()
        if not self.routed.route.resumable or is_last_run(self.routed, self.history):
            return remaining
        return min(remaining, max(MIN_GAP_SECONDS, GAP_FACTOR * self.routed.route.gap_objective))

    def unanswered_result(self, failure):
        """Return the result of an attempt that failed before the head of an answer arrived."""
        if never_connected(failure):
            return AttemptResult(AttemptOutcome.NOT_RUN, failure)
        return AttemptResult(AttemptOutcome.BROKEN, failure)

    def failed_result(self, ending, reason, detail=""):
        """Return the result of an attempt that failed at its endpoint."""
        return AttemptResult(ending, Failure(reason, STEP, self.endpoint.name, detail))

    async def relay(self, started_at):
        """Check the head of the answer and relay the body."""
        head = self.answer.head
        self.entry.limits.record_answer(self.endpoint, head, started_at)
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
        if head.event_stream and head.kind is ResponseKind.SUCCESS:
            return await self.relay_events()
        return await self.collect_answer()

    def helper_at_fault(self, head):
        """Return the address of the helper that the answer names as the cause, empty for none."""
        helpers = {helper.endpoint.address for helper in self.placed.request.helpers}
        return head.blamed_address if head.blamed_address in helpers else ""

    async def collect_answer(self):
        """Read a non-streamed answer; the caller gets it only once it is complete."""
        chunks = []
        while True:
            self.heard_at = self.entry.now()
            data = await self.receive(self.answer.read, self.read_timeout())
            if isinstance(data, Failure):
                return AttemptResult(
                    AttemptOutcome.BROKEN, attrs.evolve(data, peer=self.endpoint.name)
                )
            if not data:
                break
            chunks.append(data)
        head = self.answer.head
        error = head.kind is ResponseKind.ENDPOINT_ERROR
        ending = AttemptOutcome.ENDPOINT_ERROR if error else AttemptOutcome.WHOLE
        return AttemptResult(ending, head=head, body=b"".join(chunks))

    async def relay_events(self):
        """Relay complete events as they arrive."""
        reader = EventReader(last=self.history.last_event)
        timeout = self.initial_timeout()
        while True:
            data = await self.receive(self.answer.read, timeout)
            if isinstance(data, Failure):
                return AttemptResult(
                    AttemptOutcome.BROKEN, attrs.evolve(data, peer=self.endpoint.name)
                )
            if not data:
                break
            complete_events = reader.feed(data)
            if reader.out_of_order:
                return self.failed_result(
                    AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, "event IDs out of order"
                )
            if complete_events:
                await self.forward_events(complete_events, reader)
                timeout = self.read_timeout()
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
        else:
            self.entry.loads.record_first_event(self.placed.attempt.name)
        if not self.sink.started:
            await self.sink.start(self.answer.head.status, self.answer.head.headers)
        self.batches_relayed += 1
        self.history.event_sent(reader.last, now)
        await self.sink.write(complete_events)
        self.heard_at = self.entry.now()
