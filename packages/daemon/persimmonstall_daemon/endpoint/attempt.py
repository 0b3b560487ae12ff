"""One attempt at the endpoint daemon."""

import enum

import attrs

from persimmonstall.messages.requests import Submit
from persimmonstall.streams.send_buffer import SendBuffer


class Phase(enum.StrEnum):
    """Where an attempt stands."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    PARKED = "parked"
    ENDED = "ended"


@attrs.define(eq=False)
class Attempt:
    """State of one attempt; `deadline` and `ended_at` are in the local clock's seconds.

    `result` is the `End` or `Refused` that ends it.  `session` is None while no entry is
    attached; `detached_at` tells since when.  `won` is the claim held for non-idempotent
    work.  `holding` names its entry in the memory ledger.  `version` and `adapter_version`
    are those of the weights that it runs on, once chosen.
    """

    submit: Submit
    send_buffer: SendBuffer
    deadline: float
    job_id: str
    session: object = None
    phase: Phase = Phase.WAITING
    result: object = None
    ended_at: float = 0.0
    detached_at: float = 0.0
    first_token_at: float = 0.0
    cached: int = 0
    timer: object = None
    priority: int = 0
    chunk_tokens: int = 0
    result_sent: bool = False
    handed_over: bool = False
    won: object = None
    holding: str = ""
    version: str = ""
    adapter_version: str = ""

    @property
    def key(self):
        """What identifies the attempt."""
        return self.submit.request_id, self.submit.attempt

    @property
    def undelivered(self):
        """Whether an attached entry has not been sent everything yet."""
        return self.session is not None and not self.result_sent

    @property
    def ended(self):
        """Whether the attempt has its result."""
        return self.phase is Phase.ENDED


def make_attempt(submit, session, now, window, run):
    """Return a new `Attempt` of a `Submit`; `run` identifies this daemon's process."""
    base = len(submit.relayed)
    return Attempt(
        submit=submit,
        send_buffer=SendBuffer(submit.request_id, submit.attempt, window, base),
        deadline=now + submit.remaining,
        job_id=f"{run}/{submit.request_id}/{submit.attempt}",
        session=session,
        version=submit.version,
        adapter_version=submit.adapter_version,
    )
