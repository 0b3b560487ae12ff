"""One attempt of a call at one endpoint: send it, check the answer, relay it."""

import asyncio

import attrs

from persimmonstall.direct.events import EventReader
from persimmonstall.direct.messages import ResponseKind
from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure, Reason

from .endpoint_client import certain_not_run

STEP = "relay"

FIRST_EVENT_FACTOR = 2.0
MIN_FIRST_EVENT_SECONDS = 1.2
"""Time to the first event after which an attempt is given up: objectives, and seconds."""

FIRST_ANSWER_FACTOR = 0.6
LAST_ANSWER_FACTOR = 2.5
"""Time to a plain answer, in objectives, after which an attempt is given up while there may be
another, and after which the last one is."""

GAP_FACTOR = 2.5
MIN_GAP_SECONDS = 1.2
"""Pause between events after which an attempt is given up: objectives, and seconds."""


@attrs.frozen
class Ended:
    """How an attempt ended; `failure` says why it did not bring the whole answer.

    `blamed_address` is the address of another endpoint on which it depended, empty for none.  `began`
    says that the endpoint had begun to answer.
    """

    ending: AttemptOutcome
    failure: Failure | None = None
    head: object = None
    body: bytes = b""
    blamed_address: str = ""
    began: bool = False


class Attempt:
    """Runs `placed` for a routed call; `history` says what the caller already has."""

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
        return self.placed.request.endpoint

    async def run(self):
        """Return how the attempt `Ended`; it is over at the endpoint too when this returns."""
        begun = self.entry.now()
        try:
            ended = await self.exchange(begun)
        except TimeoutError:
            ended = self.ended(AttemptOutcome.LATE, Reason.ENDPOINT_LOST, "no answer in time")
        finally:
            if self.answer is not None:
                self.answer.close()
        return attrs.evolve(ended, began=self.begun_writing)

    async def exchange(self, begun):
        """Send the call and relay its answer; raises TimeoutError when that is overdue."""
        self.history.attempt_sent()
        async with asyncio.timeout(self.first_patience()):
            answer = await self.entry.client.send(self.routed, self.placed.request)
        if isinstance(answer, Failure):
            return self.not_answered(answer)
        self.answer = answer
        return await self.relay(begun)

    def first_patience(self):
        """Return the seconds after which a first event, or a plain answer, is overdue.

        Only work that may be repeated is given up before its deadline; a plain call early while
        another endpoint may still answer within the objective.
        """
        route = self.routed.route
        left = self.routed.deadline - self.entry.now()
        if not route.repeatable:
            return left
        if route.streaming:
            patience = max(MIN_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * route.objective)
            return min(left, patience + self.placed.predicted_first_event)
        last = self.history.runs + 1 >= route.attempts
        factor = LAST_ANSWER_FACTOR if last else FIRST_ANSWER_FACTOR
        return min(left, factor * route.objective)

    def gap_patience(self):
        """Return the seconds of silence after which a stream is given up."""
        left = self.routed.deadline - self.entry.now()
        if not self.routed.route.resumable:
            return left
        return min(left, max(MIN_GAP_SECONDS, GAP_FACTOR * self.routed.route.gap_objective))

    def not_answered(self, failure):
        """Return the end of an attempt without even the head of an answer."""
        if certain_not_run(failure):
            return Ended(AttemptOutcome.NOT_RUN, failure)
        return Ended(AttemptOutcome.BROKEN, failure)

    def ended(self, ending, reason, detail=""):
        """Return the end of an attempt by a `Failure` at its endpoint."""
        return Ended(ending, Failure(reason, STEP, self.endpoint.name, detail))

    async def relay(self, begun):
        """Judge the head of the answer and pass the body on."""
        head = self.answer.head
        if head.kind is ResponseKind.NOT_RUN:
            refused = self.ended(AttemptOutcome.NOT_RUN, Reason.BUSY, f"status {head.status}")
            return attrs.evolve(refused, blamed_address=self.other_at_fault(head))
        if head.kind is ResponseKind.WRONG_ENDPOINT:
            return self.ended(
                AttemptOutcome.WRONG_ENDPOINT, Reason.NO_ENDPOINT, "another lifetime"
            )
        if head.kind is ResponseKind.INVALID:
            return self.ended(
                AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, "not this call's answer"
            )
        if head.event_stream and head.kind is ResponseKind.SUCCESS:
            return await self.relay_events(begun)
        return await self.relay_whole()

    def other_at_fault(self, head):
        """Return the address of a helper that an answer blames, empty for none."""
        helpers = {helper.endpoint.address for helper in self.placed.request.helpers}
        return head.blamed_address if head.blamed_address in helpers else ""

    async def relay_whole(self):
        """Collect a plain answer; it is given to the caller only when it is whole."""
        pieces = []
        while True:
            data = await self.answer.read(self.gap_patience())
            if isinstance(data, Failure):
                return Ended(AttemptOutcome.BROKEN, attrs.evolve(data, peer=self.endpoint.name))
            if not data:
                break
            pieces.append(data)
        head = self.answer.head
        error = head.kind is ResponseKind.ENDPOINT_ERROR
        ending = AttemptOutcome.ENDPOINT_ERROR if error else AttemptOutcome.WHOLE
        return Ended(ending, head=head, body=b"".join(pieces))

    async def relay_events(self, begun):
        """Pass whole events on as they arrive."""
        reader = EventReader(last=self.history.last_event)
        patience = self.first_patience() - (self.entry.now() - begun)
        while True:
            data = await self.answer.read(max(0.0, patience))
            if isinstance(data, Failure):
                return Ended(AttemptOutcome.BROKEN, attrs.evolve(data, peer=self.endpoint.name))
            if not data:
                break
            whole = reader.feed(data)
            if reader.out_of_order:
                return self.ended(
                    AttemptOutcome.BROKEN, Reason.ENDPOINT_ERROR, "events out of order"
                )
            if whole:
                await self.pass_on(whole, reader)
                patience = self.gap_patience()
        if reader.partial or not self.history.response_started:
            return self.ended(AttemptOutcome.BROKEN, Reason.ENDPOINT_LOST, "ended within an event")
        return Ended(AttemptOutcome.WHOLE, head=self.answer.head)

    async def pass_on(self, whole, reader):
        """Send whole events to the caller, after the head if these are the first."""
        now = self.entry.now()
        if self.begun_writing:
            events = max(1, reader.last - self.history.last_event)
            pause = now - self.history.last_event_at
            self.entry.loads.record_gap(self.endpoint.name, pause, events)
        else:
            self.begun_writing = True
            self.entry.loads.record_first_event(self.placed.attempt.name)
        if not self.sink.started:
            await self.sink.start(self.answer.head.status, self.answer.head.headers)
        self.history.event_sent(reader.last, now)
        await self.sink.write(whole)
