"""State machines that claim a generation of a key before the hand-over, or give it up.

`advance_start` (endpoint's daemon) and `advance_give_up` (entry) map the table's last answer to
the next step.  They perform no I/O, so that the daemon, the randomised tests and the model
checker run the same decisions.
"""

import enum

import attrs

from ..failures import Failure, Reason
from ..outside.table import ABSENT, Committed, Conflict
from .planning import claim_of
from .records import Finished, GivenUp, Started

MAX_TRIES = 3
"""Maximum number of tries of one write."""


class Phase(enum.StrEnum):
    """Next step of a start, or its final state (WON and after)."""

    WRITE = "write"
    READ = "read"
    FENCE = "fence"
    FENCE_READ = "fence_read"
    WON = "won"
    LOST = "lost"
    FENCED = "fenced"
    UNSURE = "unsure"


FINAL_PHASES = frozenset((Phase.WON, Phase.LOST, Phase.FENCED, Phase.UNSURE))
"""Final states of a start: won (hand over), lost (another attempt holds the key), fenced (this
generation was given up and can no longer be claimed), unsure (state of the row unknown; nothing
is handed over)."""


@attrs.frozen
class Progress:
    """State of a start.

    `dirty`: a write of "started" by this attempt may still take effect.  `row` is the row as
    last read.
    """

    phase: Phase = Phase.WRITE
    tries: int = 1
    dirty: bool = False
    row: object = None
    version: int = ABSENT

    @property
    def done(self):
        """Whether the start has reached a final state."""
        return self.phase in FINAL_PHASES

    def to(self, phase, **changes):
        """Return a copy in `phase` with the given changes."""
        return attrs.evolve(self, phase=phase, **changes)


def version_of(row):
    """Return the version of a `Row`, `ABSENT` for None."""
    return ABSENT if row is None else row.version


def is_table_down(answer):
    """Return whether the table was unreachable, so that a commit certainly had no effect."""
    return isinstance(answer, Failure) and answer.reason is Reason.TABLE_DOWN


def evaluate_start(progress, row, ticket, attempt):
    """Return the progress after reading `row`: a final state or another step."""
    claim = claim_of(row)
    updated = progress.to(progress.phase, row=row)
    if isinstance(claim, Started) and claim.attempt == attempt:
        return updated.to(Phase.WON, version=row.version)
    if version_of(row) != ticket.expected:
        return updated.to(Phase.FENCED if isinstance(claim, GivenUp) else Phase.LOST)
    if progress.phase in (Phase.FENCE, Phase.FENCE_READ):
        return updated.to(Phase.UNSURE)
    if progress.tries < MAX_TRIES:
        return updated.to(Phase.WRITE, tries=progress.tries + 1)
    return updated.to(Phase.FENCE)


def advance_start(progress, answer, ticket, attempt):
    """Return the next `Progress` after the table's `answer` to the last step.

    WRITE stands for the write of "started", READ for a read of the row after it, FENCE for the
    write of "given up" and FENCE_READ for a read after that.
    """
    if progress.phase is Phase.WRITE:
        return after_write(progress, answer, ticket, attempt)
    if progress.phase is Phase.FENCE:
        return after_fence(progress, answer, ticket, attempt)
    return after_read(progress, answer, ticket, attempt)


def after_write(progress, answer, ticket, attempt):
    """Return the next `Progress` after the table's `answer` to the write of a "started" row."""
    if isinstance(answer, Committed):
        return progress.to(Phase.WON, version=answer.versions[0])
    if isinstance(answer, Conflict):
        return evaluate_start(progress, answer.rows[0], ticket, attempt)
    if is_table_down(answer):
        return progress.to(Phase.UNSURE)
    return progress.to(Phase.READ, dirty=True)


def after_read(progress, answer, ticket, attempt):
    """Handle the answer to a read of the row, after a write with unknown outcome."""
    if isinstance(answer, Failure):
        return progress.to(Phase.UNSURE)
    return evaluate_start(progress, answer, ticket, attempt)


def after_fence(progress, answer, ticket, attempt):
    """Handle the answer to the write of "given up" that follows a failed start."""
    if isinstance(answer, Committed):
        return progress.to(Phase.FENCED, version=answer.versions[0])
    if isinstance(answer, Conflict):
        return evaluate_start(progress, answer.rows[0], ticket, attempt)
    if is_table_down(answer):
        return progress.to(Phase.UNSURE)
    return progress.to(Phase.FENCE_READ)


class GiveUpState(enum.StrEnum):
    """Next step of a give-up (WRITE, READ), or the state of the key that it found."""

    WRITE = "write"
    READ = "read"
    NOT_RUN = "not_run"
    RUNNING = "running"
    FINISHED = "finished"
    UNSURE = "unsure"


FINAL_STATES = frozenset(
    (GiveUpState.NOT_RUN, GiveUpState.RUNNING, GiveUpState.FINISHED, GiveUpState.UNSURE)
)


@attrs.frozen
class GiveUp:
    """State of a give-up; `row` is the row as last read.

    Once the state is NOT_RUN, `generation` and `version` are those of the "given up" row.
    """

    state: GiveUpState = GiveUpState.WRITE
    tries: int = 1
    row: object = None
    generation: int = 0
    version: int = ABSENT

    @property
    def done(self):
        """Whether the give-up has reached a final state."""
        return self.state in FINAL_STATES

    def to(self, state, **changes):
        """Return a copy in `state` with the given changes."""
        return attrs.evolve(self, state=state, **changes)


def evaluate_give_up(give_up, row, ticket):
    """Return the give-up after reading `row`; NOT_RUN only if the row proves it."""
    claim = claim_of(row)
    seen = give_up.to(give_up.state, row=row)
    if isinstance(claim, Finished):
        return seen.to(GiveUpState.FINISHED)
    if isinstance(claim, Started):
        return seen.to(GiveUpState.RUNNING)
    if isinstance(claim, GivenUp) and claim.generation >= ticket.generation:
        return seen.to(GiveUpState.NOT_RUN, generation=claim.generation, version=row.version)
    if version_of(row) == ticket.expected and give_up.tries < MAX_TRIES:
        return seen.to(GiveUpState.WRITE, tries=give_up.tries + 1)
    return seen.to(GiveUpState.UNSURE)


def advance_give_up(give_up, answer, ticket):
    """Return the next `GiveUp` after the table's `answer` to the write or the read."""
    if isinstance(answer, Committed):
        version = answer.versions[0]
        return give_up.to(GiveUpState.NOT_RUN, generation=ticket.generation, version=version)
    if isinstance(answer, Conflict):
        return evaluate_give_up(give_up, answer.rows[0], ticket)
    if give_up.state is GiveUpState.WRITE and not is_table_down(answer):
        return give_up.to(GiveUpState.READ)
    if isinstance(answer, Failure):
        return give_up.to(GiveUpState.UNSURE)
    return evaluate_give_up(give_up, answer, ticket)
