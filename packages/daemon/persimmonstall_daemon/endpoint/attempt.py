"""State of one attempt at the endpoint daemon."""

import enum

import attrs

from persimmonstall.failures import Outcome
from persimmonstall.messages.requests import Submit
from persimmonstall.streams.send_buffer import SendBuffer


class AttemptPhase(enum.StrEnum):
    """State of an attempt's processing."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    PARKED = "parked"
    ENDED = "ended"


@attrs.define(eq=False)
class Attempt:
    """State of one attempt; all times are in seconds of the local monotonic clock.

    `result` is the `End` or `Refused` that ends it.  `session` is None while no entry is
    attached; `detached_at` is the time when the last link was lost.  `handed_over` is set once
    the engine or service may have received the work.  `held_claim` is the claim held for
    non-idempotent work.
    `allocation_name` is the name of its allocation in the memory ledger.  `version` and
    `adapter_version` are those of the weights that it runs on, once chosen.
    """

    submit: Submit
    send_buffer: SendBuffer
    deadline: float
    job_id: str
    session: object = None
    phase: AttemptPhase = AttemptPhase.WAITING
    result: object = None
    ended_at: float = 0.0
    detached_at: float = 0.0
    first_token_at: float = 0.0
    cached_tokens: int = 0
    deadline_timer: object = None
    priority: int = 0
    chunk_tokens: int = 0
    result_sent: bool = False
    handed_over: bool = False
    held_claim: object = None
    allocation_name: str = ""
    version: str = ""
    adapter_version: str = ""

    @property
    def key(self):
        """Return the key of the attempt: request id and attempt number."""
        return self.submit.request_id, self.submit.attempt

    @property
    def undelivered(self):
        """Whether an attached entry has yet to be sent the result."""
        return self.session is not None and not self.result_sent

    @property
    def outcome_if_stopped(self):
        """The `Outcome` to report if the attempt ends now without an answer."""
        return Outcome.UNKNOWN if self.handed_over else Outcome.NOT_RUN

    @property
    def ended(self):
        """Whether the attempt has its result."""
        return self.phase is AttemptPhase.ENDED


def make_attempt(submit, session, now, window, run):
    """Return a new `Attempt` for a `Submit`; `run` identifies this daemon's process."""
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
