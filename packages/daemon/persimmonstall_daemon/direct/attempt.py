"""One attempt of a call at one endpoint: sends it, checks the answer and relays it."""

import asyncio

import attrs

from persimmonstall.direct.events import EventReader
from persimmonstall.direct.messages import Verdict
from persimmonstall.direct.retrying import Ending
from persimmonstall.failures import Failure, Reason

from .endpoint_client import certain_not_run

STEP = "relay"

FIRST_EVENT_FACTOR = 2.0
FIRST_EVENT_LEAST = 1.2
"""Timeout of the first event: a multiple of the objective, and a minimum in seconds."""

FIRST_ANSWER_FACTOR = 0.6
LAST_ANSWER_FACTOR = 2.5
"""Timeouts of a non-streamed answer, as multiples of the objective: of an attempt that
another one may follow, and of the last attempt."""

GAP_FACTOR = 2.5
GAP_LEAST = 1.2
"""Timeout between events: a multiple of the gap objective, and a minimum in seconds."""


@attrs.frozen
class Ended:
    """The result of an attempt; `failure` says why it did not return a complete answer.

    `at_fault` is the address of a helper endpoint that made the attempt fail, empty for none.
    `began` is true if at least one event of the answer was relayed.
    """

    ending: Ending
    failure: Failure | None = None
    head: object = None
    body: bytes = b""
    at_fault: str = ""
    began: bool = False


class Attempt:
    """Runs a routed call where `placed` says; `history` records what the caller already has."""

    def __init__(self, entry, routed, placed, history, sink):
        self.entry = entry
        self.routed = routed
        self.placed = placed
        self.history = history
        self.sink = sink
        self.answer = None
        self.begun_writing = False

    @property
    def endpoint(self):
        """The endpoint that runs the call."""
        return self.placed.sending.endpoint

    async def run(self):
        """Run the attempt and return how it `Ended`.

        The connection is closed before this returns, which ends the call at the endpoint too.
        """
        begun = self.entry.now()
        try:
            ended = await self.exchange(begun)
        except TimeoutError:
            ended = self.ended(
                Ending.LATE, Reason.ENDPOINT_LOST, "timed out waiting for the endpoint"
            )
        finally:
            if self.answer is not None:
                self.answer.close()
        return attrs.evolve(ended, began=self.begun_writing)

    async def exchange(self, begun):
        """Send the call and relay its answer; raise TimeoutError if the endpoint is too slow."""
        self.history.send()
        async with asyncio.timeout(self.first_patience()):
            answer = await self.entry.client.send(self.routed, self.placed.sending)
        if isinstance(answer, Failure):
            return self.not_answered(answer)
        self.answer = answer
        return await self.relay(begun)

    def first_patience(self):
        """Return the timeout in seconds of the first event, or of a non-streamed answer.

        Only calls that may be repeated time out before their deadline.  A non-streamed call
        times out early while another endpoint can still answer within the objective.
        """
        route = self.routed.route
        left = self.routed.deadline - self.entry.now()
        if not route.repeatable:
            return left
        if route.streaming:
            patience = max(FIRST_EVENT_LEAST, FIRST_EVENT_FACTOR * route.objective)
            return min(left, patience + self.placed.first_event)
        last = self.history.runs + 1 >= route.attempts
        factor = LAST_ANSWER_FACTOR if last else FIRST_ANSWER_FACTOR
        return min(left, factor * route.objective)

    def gap_patience(self):
        """Return the timeout of the next read; only resumable streams end before the deadline."""
        left = self.routed.deadline - self.entry.now()
        if not self.routed.route.resumable:
            return left
        return min(left, max(GAP_LEAST, GAP_FACTOR * self.routed.route.gap_objective))

    def not_answered(self, failure):
        """Return the result of an attempt that failed before the head of an answer arrived."""
        if certain_not_run(failure):
            return Ended(Ending.NOT_RUN, failure)
        return Ended(Ending.BROKEN, failure)

    def ended(self, ending, reason, detail=""):
        """Return the result of an attempt that failed at its endpoint."""
        return Ended(ending, Failure(reason, STEP, self.endpoint.name, detail))

    async def relay(self, begun):
        """Check the head of the answer and relay the body."""
        head = self.answer.head
        if head.verdict is Verdict.NOT_RUN:
            refused = self.ended(Ending.NOT_RUN, Reason.BUSY, f"status {head.status}")
            return attrs.evolve(refused, at_fault=self.other_at_fault(head))
        if head.verdict is Verdict.WRONG_ENDPOINT:
            return self.ended(
                Ending.WRONG_ENDPOINT, Reason.NO_ENDPOINT, "the endpoint was replaced or restarted"
            )
        if head.verdict is Verdict.INVALID:
            return self.ended(
                Ending.BROKEN, Reason.ENDPOINT_ERROR, "the answer belongs to another call"
            )
        if head.event_stream and head.verdict is Verdict.SUCCESS:
            return await self.relay_events(begun)
        return await self.relay_whole()

    def other_at_fault(self, head):
        """Return the address of the helper that the answer names as the cause, empty for none."""
        helpers = {helper.endpoint.address for helper in self.placed.sending.helpers}
        return head.at_fault if head.at_fault in helpers else ""

    async def relay_whole(self):
        """Read a non-streamed answer; the caller gets it only once it is complete."""
        pieces = []
        while True:
            data = await self.answer.read(self.gap_patience())
            if isinstance(data, Failure):
                return Ended(Ending.BROKEN, attrs.evolve(data, peer=self.endpoint.name))
            if not data:
                break
            pieces.append(data)
        head = self.answer.head
        error = head.verdict is Verdict.ENDPOINT_ERROR
        ending = Ending.ENDPOINT_ERROR if error else Ending.WHOLE
        return Ended(ending, head=head, body=b"".join(pieces))

    async def relay_events(self, begun):
        """Relay complete events as they arrive."""
        reader = EventReader(last=self.history.last_event)
        patience = self.first_patience() - (self.entry.now() - begun)
        while True:
            data = await self.answer.read(max(0.0, patience))
            if isinstance(data, Failure):
                return Ended(Ending.BROKEN, attrs.evolve(data, peer=self.endpoint.name))
            if not data:
                break
            whole = reader.feed(data)
            if reader.broken:
                return self.ended(Ending.BROKEN, Reason.ENDPOINT_ERROR, "event IDs out of order")
            if whole:
                await self.pass_on(whole, reader)
                patience = self.gap_patience()
        if reader.partial or not self.history.sent_out:
            return self.ended(
                Ending.BROKEN,
                Reason.ENDPOINT_LOST,
                "the stream ended within an event or before the first one",
            )
        return Ended(Ending.WHOLE, head=self.answer.head)

    async def pass_on(self, whole, reader):
        """Send complete events to the caller, preceded by the head if they are the first."""
        now = self.entry.now()
        if self.begun_writing:
            events = max(1, reader.last - self.history.last_event)
            pause = now - self.history.newest_event
            self.entry.loads.paused(self.endpoint.name, pause, events)
        else:
            self.begun_writing = True
            self.entry.loads.started(self.placed.flight.name)
        if not self.sink.started:
            await self.sink.start(self.answer.head.status, self.answer.head.headers)
        self.history.event(reader.last, now)
        await self.sink.write(whole)
