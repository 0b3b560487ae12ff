"""One daemon's verdicts on content that was in flight when endpoints crashed."""

import enum

import attrs

from ..messages.control import Verdict
from .crashes import merge_crashes

QUARANTINE_CRASHES = 2
"""Number of crashes at which content is refused."""

MAX_CRASHES = 4
"""Number of crashes, cleared ones included, at which content is refused.

Bounds the crashes of content that gets further each time and so clears the earlier ones.
"""

DOUBTFUL_CRASHES = 2
"""Number of doubtful crashes, after one that is not, at which content is refused."""

SUSPECT_SECONDS = 3600.0
"""Time after the last crash until a suspicion expires."""

QUARANTINE_SECONDS = 24 * 3600.0
"""Time after the last crash until a quarantine expires."""

MAX_VERDICTS = 10_000
"""Maximum number of verdicts kept; suspicions closest to expiry go first, quarantines last."""

CLEARING_TOKENS = 8
"""Output tokens beyond the offset of a crash after which the content is cleared of it."""


class ContentStatus(enum.StrEnum):
    """How a daemon treats content: normally, in isolation, or by refusing it."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def is_quarantined(verdict):
    """Return whether a verdict has enough crashes to refuse the content."""
    count, doubtful = len(verdict.crashes), len(verdict.doubtful)
    if not count:
        return False
    return (
        count >= QUARANTINE_CRASHES
        or doubtful >= DOUBTFUL_CRASHES
        or count + doubtful + verdict.cleared >= MAX_CRASHES
    )


def merge_verdicts(one, other):
    """Return the combination of two verdicts on the same content.

    The verdict with the later lift or revision replaces the other, whose crashes are void; with
    equal ones, the crashes of both count.
    """
    if (one.lift, one.revision) != (other.lift, other.revision):
        return max(one, other, key=lambda verdict: (verdict.lift, verdict.revision))
    return attrs.evolve(
        one,
        crashes=merge_crashes(one.crashes + other.crashes),
        doubtful=merge_crashes(one.doubtful + other.doubtful),
        cleared=max(one.cleared, other.cleared),
        expires=max(one.expires, other.expires),
    )


class VerdictStore:
    """The verdicts known to a daemon, by fingerprint; times are Unix time in seconds.

    `lift_of(fingerprint)` returns the number of the operators' latest lift of the quarantine, 0
    if there was none.
    """

    def __init__(self, invariants, lift_of=lambda fingerprint: 0):
        self.invariants = invariants
        self.lift_of = lift_of
        self.verdicts = {}

    def current(self, fingerprint, wall):
        """Return the verdict if it has neither expired nor been lifted, else None."""
        verdict = self.verdicts.get(fingerprint)
        if verdict is None or verdict.expires <= wall:
            return None
        return verdict if verdict.lift >= self.lift_of(fingerprint) else None

    def status(self, fingerprint, wall):
        """Return the `ContentStatus` of the content with this fingerprint."""
        verdict = self.current(fingerprint, wall)
        if verdict is None or not verdict.crashes:
            return ContentStatus.CLEAN
        return ContentStatus.QUARANTINED if is_quarantined(verdict) else ContentStatus.SUSPECT

    def record_crash(self, fingerprints, crash, wall):
        """Record a `Crash` with these fingerprints in flight; return the changed verdicts.

        `fingerprints` maps each one to (its attempts, the output tokens it had reached).  If
        suspects are among them, the crash counts against these alone, and the other content
        does not become suspect; it is doubtful if some of that had no output yet.
        """
        suspects = {
            name: reached
            for name, reached in fingerprints.items()
            if self.status(name, wall) is not ContentStatus.CLEAN
        }
        beside = [offset for name, (_, offset) in fingerprints.items() if name not in suspects]
        doubtful = bool(suspects) and 0 in beside
        changed = []
        for name, (attempts, offset) in (suspects or fingerprints).items():
            own = attrs.evolve(crash, attempts=tuple(sorted(attempts)), offset=offset)
            changed.append(self.add_crash(name, own, wall, doubtful))
        return [verdict for verdict in changed if verdict is not None]

    def add_crash(self, fingerprint, crash, wall, doubtful=False):
        """Add a crash to the verdict on one fingerprint; return the verdict if it changed."""
        verdict = self.current(fingerprint, wall)
        if verdict is None:
            verdict = Verdict(fingerprint, lift=self.lift_of(fingerprint))
        kind = "doubtful" if doubtful else "crashes"
        known = getattr(verdict, kind)
        crashes = merge_crashes((*known, crash))
        if len(crashes) == len(known):
            return None
        updated = attrs.evolve(verdict, **{kind: crashes})
        seconds = QUARANTINE_SECONDS if is_quarantined(updated) else SUSPECT_SECONDS
        return self.store(attrs.evolve(updated, expires=wall + seconds))

    def record_progress(self, fingerprint, offset, wall):
        """Record that content reached `offset` output tokens, or its whole answer (None).

        Return the changed verdict if that clears a suspicion; a quarantine is not cleared.
        """
        if self.status(fingerprint, wall) is not ContentStatus.SUSPECT:
            return None
        verdict = self.verdicts[fingerprint]
        farthest = max(crash.offset for crash in verdict.crashes)
        if offset is not None and offset <= farthest + CLEARING_TOKENS:
            return None
        return self.store(self.without_crashes(verdict))

    def without_crashes(self, verdict):
        """Return the verdict without its crashes, whose number is added to `cleared`.

        Doubtful ones are forgotten: other content may have caused them.
        """
        return attrs.evolve(
            verdict,
            crashes=(),
            doubtful=(),
            cleared=verdict.cleared + len(verdict.crashes),
            revision=verdict.revision + 1,
        )

    def withdraw_presumed(self, endpoint, run, wall):
        """Withdraw the crashes presumed for a daemon that turned out to be alive as `run`.

        Return the changed verdicts.
        """
        changed = []
        for verdict in list(self.verdicts.values()):
            kept = tuple(c for c in verdict.crashes if not is_presumed(c, endpoint, run))
            if len(kept) < len(verdict.crashes):
                revision = verdict.revision + 1
                changed.append(self.store(attrs.evolve(verdict, crashes=kept, revision=revision)))
        return changed

    def learn(self, verdict, wall):
        """Merge a verdict from another daemon or the table; return the result if it is new."""
        if verdict.expires <= wall:
            return None
        known = self.verdicts.get(verdict.fingerprint)
        merged = verdict if known is None else merge_verdicts(known, verdict)
        if merged == known:
            return None
        if known is not None:
            newer = (merged.lift, merged.revision) >= (known.lift, known.revision)
            self.invariants.check("verdict_never_goes_back", newer, verdict.fingerprint)
        return self.store(merged)

    def store(self, verdict):
        """Store and return a verdict; drop another one when there are too many."""
        self.verdicts[verdict.fingerprint] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            dropped = min(self.verdicts.values(), key=eviction_key)
            del self.verdicts[dropped.fingerprint]
        return verdict

    def expire(self, wall):
        """Delete the expired verdicts."""
        for verdict in list(self.verdicts.values()):
            if verdict.expires <= wall:
                del self.verdicts[verdict.fingerprint]

    def quarantined(self, wall):
        """Return the verdicts on content that is refused now."""
        return [
            verdict
            for verdict in self.verdicts.values()
            if self.status(verdict.fingerprint, wall) is ContentStatus.QUARANTINED
        ]


def is_presumed(crash, endpoint, run):
    """Return whether a crash of this daemon was only presumed because its link was lost."""
    return crash.presumed and (crash.endpoint, crash.run) == (endpoint, run)


def eviction_key(verdict):
    """Return the sort key for dropping verdicts when there are too many; the least goes first."""
    return is_quarantined(verdict), bool(verdict.crashes), verdict.expires
