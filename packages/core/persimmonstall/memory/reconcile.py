"""Comparison of the ledger with the engine's own list of who holds memory.

Finds what nobody owns (a lost cancel, a dead owner, a half-done import, an export never
collected), and what the engine no longer has.
"""

import attrs

from ..outside.engine import JobKind

EXPORTS = frozenset((JobKind.PARKED, JobKind.EXPORT))
"""Kinds that hold host memory and are listed by their ticket."""

MISSES = 2
"""Listings in a row without a job after which it counts as lost."""


@attrs.frozen
class Owner:
    """Who submitted a job: a daemon's instance name and the run of its process."""

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
class Free:
    """Engine memory that nobody owns: an export to discard or a job to cancel."""

    name: str
    kind: JobKind
    memory: int

    @property
    def is_export(self):
        """Whether to discard it rather than to cancel it."""
        return self.kind in EXPORTS


@attrs.frozen
class Findings:
    """What a comparison found; `unowned` counts tokens of engine memory not in the ledger."""

    free: tuple[Free, ...] = ()
    lost: tuple[str, ...] = ()
    stuck: tuple[str, ...] = ()
    unowned: int = 0


class Reconciler:
    """Remembers since when something has been unowned or missing.

    `grace` is the time in seconds that unowned memory is left alone, since a call may be
    under way; `longest` is the age at which nothing can still be wanted.
    """

    def __init__(self, owner, grace, longest):
        self.owner = owner
        self.grace = grace
        self.longest = longest
        self.first_seen = {}
        self.missed = {}

    def compare(self, states, ledger, tickets, asked, now, listed=None):
        """Return the `Findings` of one listing that was asked for at time `asked`.

        `tickets` are the exports that belong to parked holdings.  `listed` are the instance
        names that the platform lists beside this endpoint, None when that is not known.
        """
        unowned = [s for s in states if s.job_id not in ledger.by_job and s.job_id not in tickets]
        names = {state.job_id for state in states}
        self.first_seen = {
            state.job_id: self.first_seen.get(state.job_id, now) for state in unowned
        }
        free = [
            Free(state.job_id, state.kind, state.memory)
            for state in unowned
            if self.is_free(state, now, listed)
        ]
        stuck = [s.job_id for s in states if s.job_id in ledger.by_job and self.is_stuck(s)]
        return Findings(
            free=tuple(free),
            lost=self.find_lost(ledger, names, asked),
            stuck=tuple(stuck),
            unowned=sum(state.memory for state in unowned if state.kind not in EXPORTS),
        )

    def is_free(self, state, now, listed):
        """Whether the memory of an unowned entry may be freed now."""
        if state.age >= self.longest:
            return True
        owner = parse_owner(state.owner)
        if owner == self.owner and state.kind not in EXPORTS:
            return True
        if now - self.first_seen[state.job_id] < self.grace:
            return False
        if owner.instance == self.owner.instance:
            return True
        return listed is not None and owner.instance not in listed

    def is_stuck(self, state):
        """Whether an import takes longer than it ever should."""
        return state.kind is JobKind.IMPORT and state.age >= self.grace

    def find_lost(self, ledger, names, asked):
        """Return the jobs that the engine has not had for `MISSES` listings."""
        missing = {}
        for job_id, holding in ledger.by_job.items():
            if job_id not in names and not holding.parked and holding.started < asked:
                missing[job_id] = self.missed.get(job_id, 0) + 1
        self.missed = missing
        return tuple(job_id for job_id, count in missing.items() if count >= MISSES)
