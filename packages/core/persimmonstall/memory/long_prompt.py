"""State machine of an entry that serves a prompt larger than one engine's memory.

Memory is reserved on one engine after the other, in the order of their names, and either for
all parts or for none.  An engine grants or refuses at once, so no prompt waits while it holds
memory and two long prompts cannot deadlock.  Then all parts are prefilled, and one engine
generates.  Reservations expire unless they are renewed.  When a part is lost, only that part
is reserved and prefilled again, on another engine.
"""

import enum

import attrs

from ..messages.control import Release, Reserve
from ..outside.engine import SegmentRef

RESERVATION_SECONDS = 9.0
"""Lifetime of a reservation that is not renewed."""

RENEW_SECONDS = 2.0
"""Interval between renewals of the reservations."""


class PartState(enum.StrEnum):
    """Progress of a part, from planned to held, or lost."""

    PLANNED = "planned"
    REQUESTED = "requested"
    RESERVED = "reserved"
    PREFILLING = "prefilling"
    HELD = "held"
    LOST = "lost"


@attrs.define(eq=False)
class Part:
    """One part of the prompt on one engine.

    `reservation` identifies its reservation and is also the id of its prefill request.
    """

    assignment: object
    reservation: str
    state: PartState = PartState.PLANNED
    job_id: str = ""
    requested_at: float = 0.0

    @property
    def endpoint(self):
        """Endpoint to which the part is assigned."""
        return self.assignment.endpoint


@attrs.frozen
class Prefill:
    """Command: submit the prefill of `part` to its endpoint."""

    part: Part


@attrs.frozen
class Generate:
    """Command: generate on `endpoint`, which reads the prefilled parts `refs`."""

    endpoint: str
    refs: tuple[SegmentRef, ...]


@attrs.frozen
class Refused:
    """A reservation was refused; `released`: all other parts were released as well."""

    endpoint: str
    reason: str
    retry_after: float
    released: bool = True


class LongPrompt:
    """State of one long prompt; its methods return the messages and commands to carry out.

    `request_id` names the request, `assignments` come from `segments.divide`.
    """

    def __init__(self, request_id, assignments):
        self.request_id = request_id
        self.serial = 0
        self.parts = [self.new_part(assignment) for assignment in assignments]

    def new_part(self, assignment):
        """Return a new part with its own reservation id."""
        self.serial += 1
        return Part(assignment, f"{self.request_id}.{self.serial}")

    def find(self, reservation):
        """Return the part with this reservation id, or None."""
        return next((part for part in self.parts if part.reservation == reservation), None)

    def in_state(self, state):
        """Return the parts in `state` by endpoint name, the order in which they are reserved."""
        found = [part for part in self.parts if part.state is state]
        return sorted(found, key=lambda part: part.endpoint)

    def advance(self, now):
        """Return the next messages or commands: reserve one part, prefill all, or generate."""
        if self.in_state(PartState.REQUESTED) or self.in_state(PartState.LOST):
            return []
        planned = self.in_state(PartState.PLANNED)
        if planned:
            return [self.reserve(planned[0], now)]
        reserved = self.in_state(PartState.RESERVED)
        for part in reserved:
            part.state = PartState.PREFILLING
            part.requested_at = now
        if reserved:
            return [Prefill(part) for part in reserved]
        if all(part.state is PartState.HELD for part in self.parts):
            return [Generate(self.parts[-1].endpoint, self.refs())]
        return []

    def reserve(self, part, now):
        """Return the message that reserves memory for one part."""
        part.state = PartState.REQUESTED
        part.requested_at = now
        return Reserve(
            part.reservation, part.endpoint, part.assignment.tokens, RESERVATION_SECONDS
        )

    def refs(self):
        """Return the references to all parts, in the order of the prompt."""
        parts = sorted(self.parts, key=lambda part: part.assignment.start)
        return tuple(
            SegmentRef(part.endpoint, part.job_id, part.assignment.start, part.assignment.end)
            for part in parts
        )

    def on_reserved(self, answer, now):
        """Handle the answer to a reservation or a renewal."""
        part = self.find(answer.reservation)
        if part is None:
            return [] if answer.reason else [Release(answer.reservation, answer.endpoint)]
        if part.state is PartState.REQUESTED:
            return self.on_first_answer(part, answer, now)
        if answer.reason and part.state is not PartState.PLANNED:
            part.state = PartState.LOST
        return []

    def on_first_answer(self, part, answer, now):
        """Handle the first answer to a reservation.

        A refusal releases all parts if none is being prefilled yet; otherwise only this part
        counts as lost.
        """
        if not answer.reason:
            part.state = PartState.RESERVED
            return self.advance(now)
        if self.in_state(PartState.HELD) or self.in_state(PartState.PREFILLING):
            part.state = PartState.LOST
            return [Refused(part.endpoint, answer.reason, answer.retry_after, released=False)]
        part.state = PartState.PLANNED
        refused = Refused(part.endpoint, answer.reason, answer.retry_after)
        return [*self.release(), refused]

    def on_prefilled(self, reservation, job_id, now):
        """Record that the engine job `job_id` holds the prefilled part."""
        part = self.find(reservation)
        if part is None or part.state is not PartState.PREFILLING:
            return []
        part.state = PartState.HELD
        part.job_id = job_id
        return self.advance(now)

    def on_lost(self, reservation):
        """Mark a part as lost.

        Its endpoint has lost or refused it, or could not be reached.
        """
        part = self.find(reservation)
        if part and part.state is not PartState.PLANNED:
            part.state = PartState.LOST

    def lost_endpoints(self):
        """Return the endpoints of the lost parts."""
        return {part.endpoint for part in self.in_state(PartState.LOST)}

    def held_tokens(self):
        """Return the number of prompt tokens that are already prefilled and held."""
        held = self.in_state(PartState.HELD)
        return sum(part.assignment.end - part.assignment.start for part in held)

    def reassign_lost(self, engines, now):
        """Reassign each lost part to the engine with most free memory that has no part yet.

        Return the messages to send; a part that fits on no engine stays lost.
        """
        messages = []
        for part in self.in_state(PartState.LOST):
            engine = self.most_free(engines, part.assignment.tokens)
            if engine is None:
                continue
            messages.append(Release(part.reservation, part.endpoint))
            assignment = attrs.evolve(part.assignment, endpoint=engine.endpoint)
            self.parts[self.parts.index(part)] = self.new_part(assignment)
        return messages + self.advance(now)

    def most_free(self, engines, tokens):
        """Return the unused engine with most free memory that can take `tokens`, or None."""
        taken = {part.endpoint for part in self.parts if part.state is not PartState.LOST}
        free = [
            engine
            for engine in engines
            if engine.endpoint not in taken and engine.usable >= tokens
        ]
        return max(free, key=lambda engine: (engine.free, engine.endpoint), default=None)

    def renewals(self):
        """Return the messages that renew all reservations."""
        return [
            Reserve(
                part.reservation,
                part.endpoint,
                part.assignment.tokens,
                RESERVATION_SECONDS,
                renew=True,
            )
            for part in self.parts
            if part.state in (PartState.RESERVED, PartState.PREFILLING, PartState.HELD)
        ]

    def release(self):
        """Return the messages that release all parts; all become planned again."""
        messages = [
            Release(part.reservation, part.endpoint)
            for part in self.parts
            if part.state is not PartState.PLANNED
        ]
        self.parts = [self.new_part(part.assignment) for part in self.parts]
        return messages
