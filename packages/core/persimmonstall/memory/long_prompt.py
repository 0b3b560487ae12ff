"""The entry's part in serving a prompt larger than an engine.

The memory is reserved all or nothing, one engine after the other in the order of their
names, and an engine answers at once: nobody waits while holding, so two long prompts cannot
block each other.  Then all parts are prefilled, then one engine generates.  Reservations
lapse unless they are renewed.  When a part is lost only that part is reserved and prefilled
again, elsewhere.
"""

import enum

import attrs

from ..messages.control import Release, Reserve
from ..outside.engine import SegmentRef

RESERVATION_SECONDS = 9.0
"""Time after which a reservation lapses that is not renewed."""

RENEW_SECONDS = 2.0
"""Time between renewals."""


class PartState(enum.StrEnum):
    """Where a part stands."""

    PLANNED = "planned"
    ASKED = "asked"
    RESERVED = "reserved"
    PREFILLING = "prefilling"
    HELD = "held"
    LOST = "lost"


@attrs.define(eq=False)
class Part:
    """One share of the prompt; `reservation` also names the request for its prefill."""

    assignment: object
    reservation: str
    state: PartState = PartState.PLANNED
    job_id: str = ""
    asked_at: float = 0.0

    @property
    def endpoint(self):
        """Endpoint that holds the part."""
        return self.assignment.endpoint


@attrs.frozen
class Prefill:
    """Command: submit the prefill of `part`."""

    part: Part


@attrs.frozen
class Generate:
    """Command: generate on `endpoint` over the parts `refs`."""

    endpoint: str
    refs: tuple[SegmentRef, ...]


@attrs.frozen
class Refused:
    """The reservation was refused; `released` tells whether everything was given back."""

    endpoint: str
    reason: str
    retry_after: float
    released: bool = True


class LongPrompt:
    """State of one long prompt; each method returns the messages and commands that follow.

    `request_id` names the request, `assignments` come from `segments.divide`.
    """

    def __init__(self, request_id, assignments):
        self.request_id = request_id
        self.serial = 0
        self.parts = [self.new_part(assignment) for assignment in assignments]

    def new_part(self, assignment):
        """Return a part with a reservation of its own."""
        self.serial += 1
        return Part(assignment, f"{self.request_id}.{self.serial}")

    def find(self, reservation):
        """Return the part with this reservation, or None."""
        return next((part for part in self.parts if part.reservation == reservation), None)

    def in_state(self, state):
        """Return the parts in `state`, in the fixed order of reservation."""
        found = [part for part in self.parts if part.state is state]
        return sorted(found, key=lambda part: part.endpoint)

    def advance(self, now):
        """Return what to do next: reserve one more part, prefill all, or generate."""
        if self.in_state(PartState.ASKED) or self.in_state(PartState.LOST):
            return []
        planned = self.in_state(PartState.PLANNED)
        if planned:
            return [self.ask(planned[0], now)]
        reserved = self.in_state(PartState.RESERVED)
        for part in reserved:
            part.state = PartState.PREFILLING
            part.asked_at = now
        if reserved:
            return [Prefill(part) for part in reserved]
        if all(part.state is PartState.HELD for part in self.parts):
            return [Generate(self.parts[-1].endpoint, self.refs())]
        return []

    def ask(self, part, now):
        """Return the message that reserves the memory of one part."""
        part.state = PartState.ASKED
        part.asked_at = now
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
        """Take the answer to a reservation or to a renewal."""
        part = self.find(answer.reservation)
        if part is None:
            return [] if answer.reason else [Release(answer.reservation, answer.endpoint)]
        if part.state is PartState.ASKED:
            return self.on_first_answer(part, answer, now)
        if answer.reason and part.state is not PartState.PLANNED:
            part.state = PartState.LOST
        return []

    def on_first_answer(self, part, answer, now):
        """Go on after a grant; after a refusal give back everything not yet prefilled."""
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
        """Note that a part is held by the engine job `job_id`."""
        part = self.find(reservation)
        if part is None or part.state is not PartState.PREFILLING:
            return []
        part.state = PartState.HELD
        part.job_id = job_id
        return self.advance(now)

    def on_lost(self, reservation):
        """Note that a part is lost or cannot be had where it was asked for."""
        part = self.find(reservation)
        if part and part.state is not PartState.PLANNED:
            part.state = PartState.LOST

    def lost_endpoints(self):
        """Return the endpoints whose part is lost."""
        return {part.endpoint for part in self.in_state(PartState.LOST)}

    def held_tokens(self):
        """Return the prompt tokens that need no further prefill."""
        held = self.in_state(PartState.HELD)
        return sum(part.assignment.end - part.assignment.start for part in held)

    def reassign_lost(self, engines, now):
        """Plan each lost part anew on the roomiest engine that has no part yet.

        Return the messages that follow; a part without room stays lost.
        """
        messages = []
        for part in self.in_state(PartState.LOST):
            engine = self.roomiest(engines, part.assignment.tokens)
            if engine is None:
                continue
            messages.append(Release(part.reservation, part.endpoint))
            assignment = attrs.evolve(part.assignment, endpoint=engine.endpoint)
            self.parts[self.parts.index(part)] = self.new_part(assignment)
        return messages + self.advance(now)

    def roomiest(self, engines, tokens):
        """Return the room with most free memory, of at least `tokens`, or None."""
        taken = {part.endpoint for part in self.parts if part.state is not PartState.LOST}
        free = [
            engine
            for engine in engines
            if engine.endpoint not in taken and engine.usable >= tokens
        ]
        return max(free, key=lambda engine: (engine.free, engine.endpoint), default=None)

    def renewals(self):
        """Return the messages that put off the lapse of what is reserved."""
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
        """Return the messages that give everything back; the parts are planned anew."""
        messages = [
            Release(part.reservation, part.endpoint)
            for part in self.parts
            if part.state is not PartState.PLANNED
        ]
        self.parts = [self.new_part(part.assignment) for part in self.parts]
        return messages
