"""Reconciliation of the ledger with the engine's own list of jobs that hold memory.

Finds memory without an owner (after a lost cancellation, the death of its owner, an unfinished
import, or an export that nobody collected) and jobs that the engine no longer has.
"""

import attrs

from ..outside.engine import JobKind

EXPORTS = frozenset((JobKind.PARKED, JobKind.EXPORT))
"""Kinds of jobs that hold host memory; their job id in the list is the export's ticket."""

MISSES_UNTIL_LOST = 2
"""Number of consecutive lists without a job after which the job counts as lost."""


@attrs.frozen
class Owner:
    """Daemon that submitted a job: its instance name, and the run id of its process."""

    instance: str
    run: str

    def __str__(self):
        return f"{self.instance}/{self.run}"


def parse_owner(text):
    """Return the `Owner` that `text` names.

    >>> parse_owner("i1/a5")
    Owner(instance='i1', run='a5')
    """
    instance, _, run = text.rpartition("/")
    return Owner(instance, run)


@attrs.frozen
class UnownedMemory:
    """Engine memory without an owner: an export to discard or a job to cancel."""

    name: str
    kind: JobKind
    memory: int

    @property
    def is_export(self):
        """Whether this is an export, which is discarded; a job is cancelled."""
        return self.kind in EXPORTS


@attrs.frozen
class Findings:
    """Result of a reconciliation.

    `free` is the memory to free, `lost` and `stuck` are the ids of jobs to run again, and
    `unowned_tokens` is the engine memory outside the ledger, in tokens.
    """

    free: tuple[UnownedMemory, ...] = ()
    lost: tuple[str, ...] = ()
    stuck: tuple[str, ...] = ()
    unowned_tokens: int = 0


class Reconciler:
    """Tracks since when jobs have been without an owner, and how often jobs were missing.

    `grace` is the time in seconds before memory without an owner is freed, because a call may
    still be in progress.  `max_age` is the age in seconds above which no job can still be in
    use.
    """

    def __init__(self, owner, grace, max_age):
        self.owner = owner
        self.grace = grace
        self.max_age = max_age
        self.first_seen = {}
        self.missed = {}

    def compare(self, states, ledger, tickets, requested_at, now, known_instances=None):
        """Return the `Findings` from the engine's list `states`, requested at `requested_at`.

        `tickets` are the exports of parked allocations.  `known_instances` are the names of the
        instances that the platform lists beside this endpoint, None if they are unknown.
        """
        unowned = [s for s in states if s.job_id not in ledger.by_job and s.job_id not in tickets]
        names = {state.job_id for state in states}
        self.first_seen = {
            state.job_id: self.first_seen.get(state.job_id, now) for state in unowned
        }
        free = [
            UnownedMemory(state.job_id, state.kind, state.memory)
            for state in unowned
            if self.may_be_freed(state, now, known_instances)
        ]
        stuck = [s.job_id for s in states if s.job_id in ledger.by_job and self.is_stuck(s)]
        return Findings(
            free=tuple(free),
            lost=self.find_lost(ledger, names, requested_at),
            stuck=tuple(stuck),
            unowned_tokens=sum(state.memory for state in unowned if state.kind not in EXPORTS),
        )

    def may_be_freed(self, state, now, known_instances):
        """Return whether the memory of a job without an owner may be freed now."""
        if state.age >= self.max_age:
            return True
        owner = parse_owner(state.owner)
        if owner == self.owner and state.kind not in EXPORTS:
            return True
        if now - self.first_seen[state.job_id] < self.grace:
            return False
        if owner.instance == self.owner.instance:
            return True
        return known_instances is not None and owner.instance not in known_instances

    def is_stuck(self, state):
        """Return whether an import takes longer than the grace period."""
        return state.kind is JobKind.IMPORT and state.age >= self.grace

    def find_lost(self, ledger, names, requested_at):
        """Return the jobs that were missing from the last `MISSES_UNTIL_LOST` lists."""
        missing = {}
        for job_id, allocation in ledger.by_job.items():
            if job_id not in names and not allocation.parked and allocation.started < requested_at:
                missing[job_id] = self.missed.get(job_id, 0) + 1
        self.missed = missing
        return tuple(job_id for job_id, count in missing.items() if count >= MISSES_UNTIL_LOST)
