"""What one daemon knows about content that was in flight at crashes."""

import enum

import attrs

from ..messages.control import Verdict
from .crashes import merge_crashes

QUARANTINE_CRASHES = 2
"""Crashes at which content is refused."""

MAX_CRASHES = 4
"""Crashes in all at which content is refused although it came further each time."""

SUSPECT_SECONDS = 3600.0
"""Time after the last crash at which a suspicion expires."""

QUARANTINE_SECONDS = 24 * 3600.0
"""Time after the last crash at which a quarantine expires."""

MAX_VERDICTS = 10_000
"""Verdicts kept; suspicions that expire first are dropped first, quarantines last."""

PASSED_TOKENS = 8
"""Output tokens beyond the place of a crash after which the content did not cause it."""


class ContentStatus(enum.StrEnum):
    """How a daemon treats content."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def is_quarantined(verdict):
    """Say whether a verdict's crashes are enough to refuse the content."""
    count = len(verdict.crashes)
    return count >= QUARANTINE_CRASHES or (count and count + verdict.cleared >= MAX_CRASHES)


def merge_verdicts(one, other):
    """Return what two verdicts on the same content say together.

    A later clearing or lifting voids the crashes before it; otherwise all crashes count.
    """
    if (one.lift, one.revision) != (other.lift, other.revision):
        return max(one, other, key=lambda verdict: (verdict.lift, verdict.revision))
    crashes = merge_crashes(one.crashes + other.crashes)
    return attrs.evolve(
        one,
        crashes=crashes,
        cleared=max(one.cleared, other.cleared),
        expires=max(one.expires, other.expires),
    )


class VerdictStore:
    """The verdicts that a daemon knows, by fingerprint; times are wall time in seconds.

    `lift_of(fingerprint)` returns the number of the operators' latest lift, 0 for none.
    """

    def __init__(self, invariants, lift_of=lambda fingerprint: 0):
        self.invariants = invariants
        self.lift_of = lift_of
        self.verdicts = {}

    def current(self, fingerprint, wall):
        """Return the verdict in force, or None."""
        verdict = self.verdicts.get(fingerprint)
        if verdict is None or verdict.expires <= wall:
            return None
        return verdict if verdict.lift >= self.lift_of(fingerprint) else None

    def status(self, fingerprint, wall):
        """Return the `ContentStatus` of content."""
        verdict = self.current(fingerprint, wall)
        if verdict is None or not verdict.crashes:
            return ContentStatus.CLEAN
        return ContentStatus.QUARANTINED if is_quarantined(verdict) else ContentStatus.SUSPECT

    def record_crash(self, fingerprints, crash, wall):
        """Note a `Crash` with these fingerprints in flight; return the changed verdicts.

        `fingerprints` maps each one to (its attempts, its least output so far).  If suspects
        were among them, the crash counts against these alone: the others only kept company.
        """
        suspects = {
            name: place
            for name, place in fingerprints.items()
            if self.status(name, wall) is not ContentStatus.CLEAN
        }
        changed = []
        for name, (attempts, offset) in (suspects or fingerprints).items():
            own = attrs.evolve(crash, attempts=tuple(sorted(attempts)), offset=offset)
            changed.append(self.charge(name, own, wall))
        return [verdict for verdict in changed if verdict is not None]

    def charge(self, fingerprint, crash, wall):
        """Add one crash to a verdict; return the verdict if it changed."""
        verdict = self.current(fingerprint, wall)
        if verdict is None:
            verdict = Verdict(fingerprint, lift=self.lift_of(fingerprint))
        crashes = merge_crashes((*verdict.crashes, crash))
        if len(crashes) == len(verdict.crashes):
            return None
        charged = attrs.evolve(verdict, crashes=crashes)
        seconds = QUARANTINE_SECONDS if is_quarantined(charged) else SUSPECT_SECONDS
        return self.put(attrs.evolve(charged, expires=wall + seconds))

    def record_progress(self, fingerprint, offset, wall):
        """Note that content ran on to `offset` output tokens, None for its whole answer.

        Return the changed verdict when that clears a suspicion; a quarantine stays.
        """
        if self.status(fingerprint, wall) is not ContentStatus.SUSPECT:
            return None
        verdict = self.verdicts[fingerprint]
        farthest = max(crash.offset for crash in verdict.crashes)
        if offset is not None and offset <= farthest + PASSED_TOKENS:
            return None
        return self.put(self.cleared(verdict))

    def cleared(self, verdict):
        """Return the verdict with its crashes voided, but remembered in number."""
        return attrs.evolve(
            verdict,
            crashes=(),
            cleared=verdict.cleared + len(verdict.crashes),
            revision=verdict.revision + 1,
        )

    def withdraw_presumed(self, endpoint, run, wall):
        """Take back crashes of a daemon that was taken for dead and is alive as `run`.

        Return the changed verdicts.
        """
        changed = []
        for verdict in list(self.verdicts.values()):
            kept = tuple(c for c in verdict.crashes if not presumed(c, endpoint, run))
            if len(kept) < len(verdict.crashes):
                revision = verdict.revision + 1
                changed.append(self.put(attrs.evolve(verdict, crashes=kept, revision=revision)))
        return changed

    def learn(self, verdict, wall):
        """Take in a verdict of another daemon or the table; return it merged if it is news."""
        if verdict.expires <= wall:
            return None
        known = self.verdicts.get(verdict.fingerprint)
        merged = verdict if known is None else merge_verdicts(known, verdict)
        if merged == known:
            return None
        if known is not None:
            newer = (merged.lift, merged.revision) >= (known.lift, known.revision)
            self.invariants.check("verdict_never_goes_back", newer, verdict.fingerprint)
        return self.put(merged)

    def put(self, verdict):
        """Keep a verdict, within the bound; return it."""
        self.verdicts[verdict.fingerprint] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            weakest = min(self.verdicts.values(), key=strength)
            del self.verdicts[weakest.fingerprint]
        return verdict

    def expire(self, wall):
        """Forget what has expired."""
        for verdict in list(self.verdicts.values()):
            if verdict.expires <= wall:
                del self.verdicts[verdict.fingerprint]

    def quarantined(self, wall):
        """Return the verdicts by which content is refused now."""
        return [
            verdict
            for verdict in self.verdicts.values()
            if self.status(verdict.fingerprint, wall) is ContentStatus.QUARANTINED
        ]


def presumed(crash, endpoint, run):
    """Say whether a crash was only presumed, from the loss of the link to a daemon."""
    return crash.presumed and (crash.endpoint, crash.run) == (endpoint, run)


def strength(verdict):
    """Return the key by which verdicts are dropped when there are too many."""
    return is_quarantined(verdict), bool(verdict.crashes), verdict.expires
