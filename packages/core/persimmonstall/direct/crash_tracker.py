"""Call contents and parts of prompts that crash the endpoints that run them."""

import itertools
import math

import attrs

from .change_log import ChangeLog
from .content_crashes import BLOCK_CRASHES, BLOCK_SECONDS, ContentCrashes
from .crash_record import CrashRecord
from .crashing_parts import CrashingParts, LostCall
from .sound_keys import SoundKeys

MAX_SOUND_CONTENTS = 512
"""Maximum number of contents with complete answers that are remembered."""

CONFIRM_SECONDS = 8.0
"""Maximum time between a lost connection and the end of the endpoint's lifetime for the loss to
count as a crash."""

ABANDONED_MARGIN_SECONDS = 1.5
"""Time after the last moment of an abandoned call within which its endpoint may be found dead;
more than the pause between two checks."""

MAX_CONTENTS = 2048
"""Maximum number of contents whose crashes are kept; the oldest are dropped first."""

MAX_RECORDS = 64
"""Maximum number of blocked contents that the directory keeps; the newest ones are kept."""

MAX_LIFETIMES_SENT = 4
"""Maximum number of crashed lifetimes of one content that are sent or kept by the directory."""

MAX_CONTENTS_SENT = 16
"""Maximum numbers of blocked contents, and of other ones, in one beacon; the newest are sent."""


@attrs.frozen
class AbandonedCall:
    """A call whose connection this entry closed; its endpoint may run it up to the time `until`.

    `lost` is the call as it counts if the endpoint is found dead by then.
    """

    lost: LostCall
    until: float

    def may_run(self, now):
        """Return whether the endpoint may have crashed under the call up to now."""
        return now <= self.until + ABANDONED_MARGIN_SECONDS


@attrs.define
class CrashTracker:
    """Endpoint lifetimes that ended while they ran a content, by content fingerprint.

    A lost connection alone is weak evidence: it counts as a crash only once the endpoint no
    longer accepts connections or its lifetime has ended.  An abandoned call is weaker still: it
    counts only if the endpoint is found dead.  `parts` counts by parts of prompts,
    `changes` are the contents whose crashes this entry has found, `answered` those whose crashes
    were excused by complete answers.  `sound` are those that had complete answers lately.
    `cached_culprits` is None after a change of the crashes.
    """

    crashes: dict = attrs.field(factory=dict)
    lost_connections: dict = attrs.field(factory=dict)
    abandoned_calls: dict = attrs.field(factory=dict)
    parts: CrashingParts = attrs.field(factory=CrashingParts)
    changes: ChangeLog = attrs.field(factory=ChangeLog)
    answered: ChangeLog = attrs.field(factory=ChangeLog)
    sound: SoundKeys = attrs.field(factory=lambda: SoundKeys(MAX_SOUND_CONTENTS))
    cached_culprits: set | None = None

    def record_lost_connection(self, content, lifetime, now, parts=(), begun=False):
        """Record that an endpoint dropped the connection while it ran a content.

        `parts` are those of the call that other calls may share.  A call whose answer had
        `begun` counts for them, but not for its content.
        """
        call = LostCall(content, parts, now, begun)
        self.lost_connections.setdefault(lifetime, {})[content] = call

    def record_abandoned_call(self, content, lifetime, now, until, parts=(), begun=False):
        """Record that this entry closed the connection of a call, which may run up to `until`."""
        until = min(until, now + CONFIRM_SECONDS - ABANDONED_MARGIN_SECONDS)
        call = AbandonedCall(LostCall(content, parts, now, begun), until)
        self.abandoned_calls.setdefault(lifetime, {})[content] = call

    def forget_abandoned_calls(self, lifetime):
        """Drop the abandoned calls of an endpoint that has ended as planned."""
        self.abandoned_calls.pop(lifetime, None)

    def count_abandoned_calls(self, lifetime, now):
        """Count the abandoned calls that a dead endpoint may have run as lost."""
        for content, call in self.abandoned_calls.pop(lifetime, {}).items():
            if call.may_run(now):
                self.lost_connections.setdefault(lifetime, {}).setdefault(content, call.lost)

    def confirm_crash(self, lifetime, now):
        """Record that an endpoint lifetime has ended; return the contents that crashed it."""
        lost = self.lost_connections.pop(lifetime, {})
        calls = [call for call in lost.values() if now - call.at <= CONFIRM_SECONDS]
        contents = [call.content for call in calls if not call.begun]
        for content in contents:
            self.add_crashes(content, (lifetime,), now)
            self.changes.record(content)
        self.parts.add_crash(lifetime, calls, now)
        return contents

    def add_crashes(self, content, lifetimes, now):
        """Add lifetimes that ended while they ran a content."""
        known = self.crashes.pop(content, None) or ContentCrashes()
        known.add(lifetimes, now)
        self.crashes[content] = known
        self.drop_oldest()

    def drop_oldest(self):
        """Drop the contents that were added first if there are too many."""
        self.cached_culprits = None
        while len(self.crashes) > MAX_CONTENTS:
            del self.crashes[next(iter(self.crashes))]

    def merge_remote(self, remote, now):
        """Merge the (content, lifetimes) pairs reported by another entry.

        If it does not know that some of them are excused, it is told.
        """
        for content, lifetimes in remote:
            reported = frozenset(tuple(lifetime) for lifetime in lifetimes)
            known = self.crashes.get(content) or ContentCrashes()
            if reported & known.excused:
                self.answered.record(content)
            if not reported <= known.lifetimes:
                self.add_crashes(content, reported, now)

    def record_whole(self, content, now):
        """Record a complete answer; return whether it excuses crashes of its content."""
        self.sound.add(content, now)
        known = self.crashes.get(content)
        if known is None or not known.counted:
            return False
        self.excuse(content, known.counted)
        self.answered.record(content)
        return True

    def excuse(self, content, lifetimes):
        """Excuse crashes of a content."""
        known = self.crashes.setdefault(content, ContentCrashes())
        known.excuse(lifetimes)
        self.drop_oldest()

    def merge_excused(self, remote, now):
        """Merge the (content, lifetimes) pairs that complete answers at another entry excused."""
        for content, lifetimes in remote:
            known = self.crashes.get(content)
            if known is None or not frozenset(lifetimes) <= known.excused:
                self.excuse(content, lifetimes)
                self.sound.add(content, now)

    def is_blocked(self, content, now):
        """Return whether a content has crashed too many endpoints recently."""
        known = self.crashes.get(content)
        if known is None or len(known.counted) < BLOCK_CRASHES:
            return False
        return now - known.last_crash < BLOCK_SECONDS and content in self.culprits()

    def culprits(self):
        """Return the contents with crashes that neither parts nor other contents explain."""
        if self.cached_culprits is None or self.parts.cached_culprits is None:
            self.cached_culprits = self.find_culprits()
        return self.cached_culprits

    def find_culprits(self):
        """Find the culprits: calls that ran beside a culprit were lost in the same crashes."""
        explained = self.parts.crashed_by_blocked_parts()
        counted = {content: known.counted for content, known in self.crashes.items()}
        repeated = [content for content, ended in counted.items() if len(ended) >= BLOCK_CRASHES]
        culprits = set()
        by_crashes = sorted(repeated, key=lambda content: -len(counted[content]))
        for _, tied in itertools.groupby(by_crashes, key=lambda content: len(counted[content])):
            found = [c for c in tied if len(counted[c] - explained) >= BLOCK_CRASHES]
            culprits.update(found)
            explained.update(*(counted[content] for content in found))
        return culprits

    def trial_wait(self, content, at_once, now):
        """Return the seconds until a call with a blocked content may be tried, 0 for now.

        Return None if the content is not known here.
        """
        known = self.crashes.get(content)
        return None if known is None else known.trial_wait(at_once, now)

    def start_trial(self, content, now):
        """Record that a call with a blocked content is tried."""
        self.crashes[content].start_trial(now)

    def local_changes(self):
        """Return the (content, lifetimes) pairs that changed lately."""
        changed = [content for content in self.changes.pending() if content in self.crashes]
        newest = changed[-MAX_CONTENTS_SENT:]
        return tuple((content, self.lifetimes_sent(content)) for content in newest)

    def local_state(self, now):
        """Return the newest (content, lifetimes) pairs, to be sent to other entries.

        However many contents are only suspected, the blocked ones are among them.
        """
        blocked = self.newest_blocked(now, MAX_CONTENTS_SENT)
        suspected = [
            content
            for content, known in self.crashes.items()
            if known.counted and not self.is_blocked(content, now)
        ]
        sent = suspected[-MAX_CONTENTS_SENT:] + blocked
        return tuple((content, self.lifetimes_sent(content)) for content in sent)

    def excused_changes(self):
        """Return the (content, lifetimes) pairs that were excused lately."""
        changed = [content for content in self.answered.pending() if content in self.crashes]
        return self.excused_pairs(changed)

    def excused_state(self):
        """Return the newest (content, lifetimes) pairs that are excused."""
        return self.excused_pairs([name for name, known in self.crashes.items() if known.excused])

    def excused_pairs(self, contents):
        """Return the newest of the contents, with their excused lifetimes."""
        return tuple(
            (content, tuple(sorted(self.crashes[content].excused)))
            for content in contents[-MAX_CONTENTS_SENT:]
        )

    def mark_sent(self):
        """Record that the pending changes were sent."""
        self.changes.mark_sent()
        self.answered.mark_sent()
        self.parts.mark_sent()

    def lifetimes_sent(self, content):
        """Return the lifetimes that a content crashed, as they are sent and kept."""
        return tuple(sorted(self.crashes[content].counted)[:MAX_LIFETIMES_SENT])

    def newest_blocked(self, now, limit):
        """Return the `limit` blocked contents whose last crashes are the newest."""
        blocked = [content for content in self.crashes if self.is_blocked(content, now)]
        return sorted(blocked, key=lambda content: self.crashes[content].last_crash)[-limit:]

    def records(self, now):
        """Return the records of the newest blocked contents by content."""
        records = {}
        for content in self.newest_blocked(now, MAX_RECORDS):
            known = self.crashes[content]
            lifetimes = self.lifetimes_sent(content)
            age = now - known.last_crash
            records[content] = CrashRecord(content, len(known.counted), lifetimes, age)
        return records

    def add_record(self, record, now):
        """Add a content that the directory kept; its record tells when it last crashed.

        Crashes that other entries reported came without their times.
        """
        if record.age >= BLOCK_SECONDS:
            return
        kept = frozenset(record.lifetimes)
        known = self.crashes.setdefault(record.key, ContentCrashes())
        crashed_at = now - record.age
        if not known.lifetimes <= kept:
            crashed_at = max(known.last_crash, crashed_at)
        known.add(kept, crashed_at)
        self.drop_oldest()

    def expire(self, now):
        """Drop lost connections too old to be confirmed as crashes, and old suspicions."""
        self.parts.expire(now)
        keep_calls(self.lost_connections, lambda call: now - call.at <= CONFIRM_SECONDS)
        keep_calls(self.abandoned_calls, lambda call: call.may_run(now))
        for content, known in list(self.crashes.items()):
            if math.isfinite(known.last_crash) and now - known.last_crash >= BLOCK_SECONDS:
                del self.crashes[content]
                self.cached_culprits = None


def keep_calls(calls, condition):
    """Drop from `calls`, by lifetime and content, those that do not meet a condition."""
    for lifetime, by_content in list(calls.items()):
        kept = {content: call for content, call in by_content.items() if condition(call)}
        if kept:
            calls[lifetime] = kept
        else:
            del calls[lifetime]
