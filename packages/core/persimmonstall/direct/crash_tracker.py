"""Call contents and parts of prompts that crash the endpoints that run them."""

import math

import attrs
import xxhash

from .change_log import ChangeLog
from .crash_record import CrashRecord
from .crashing_parts import CrashingParts, LostCall
from .sound_keys import SoundKeys

BLOCK_CRASHES = 2
"""Number of crashed endpoint lifetimes from which the content that crashed them is refused."""

SOUND_BLOCK_CRASHES = 4
"""The same number for a content that an endpoint has lately answered: more of its crashes have
another cause."""

MAX_SOUND_CONTENTS = 512
"""Maximum number of contents with complete answers that are remembered."""

CONFIRM_SECONDS = 8.0
"""Maximum time between a lost connection and the end of the endpoint's lifetime for the loss to
count as a crash."""

BLOCK_SECONDS = 600.0
"""Time after its last crash for which a content is refused."""

MAX_CONTENTS = 2048
"""Maximum number of contents whose crashes are kept; the oldest are dropped first."""

MAX_RECORDS = 64
"""Maximum number of blocked contents that the directory keeps; the newest ones are kept."""

MAX_LIFETIMES_SENT = 4
"""Maximum number of crashed lifetimes of one content that are sent or kept by the directory."""

MAX_CONTENTS_SENT = 16
"""Maximum numbers of blocked contents, and of other ones, in one beacon; the newest are sent."""


def content_fingerprint(call):
    """Return the fingerprint of a call's content; it is the same each time the call is sent."""
    digest = xxhash.xxh3_64(f"{call.method} {call.host}{call.target} {call.key} ".encode())
    digest.update(call.body)
    return digest.hexdigest()


@attrs.define
class CrashTracker:
    """Endpoint lifetimes that ended while they ran a content, by content fingerprint.

    A lost connection alone is weak evidence: it counts as a crash only once the endpoint no
    longer accepts connections or its lifetime has ended.  `parts` counts by parts of prompts,
    `changes` are the contents whose crashes this entry has found.  `sound` are those that had
    complete answers.
    """

    crashes: dict = attrs.field(factory=dict)
    lost_connections: dict = attrs.field(factory=dict)
    parts: CrashingParts = attrs.field(factory=CrashingParts)
    changes: ChangeLog = attrs.field(factory=ChangeLog)
    sound: SoundKeys = attrs.field(factory=lambda: SoundKeys(MAX_SOUND_CONTENTS))

    def record_lost_connection(self, content, lifetime, now, parts=(), begun=False):
        """Record that an endpoint dropped the connection while it ran a content.

        `parts` are those of the prompt that other calls may share.  A call whose answer had
        `begun` counts for them, but not for its content.
        """
        call = LostCall(content, parts, now, begun)
        self.lost_connections.setdefault(lifetime, {})[content] = call

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
        known, _ = self.crashes.pop(content, (frozenset(), now))
        self.crashes[content] = (known | frozenset(lifetimes), now)
        self.drop_oldest()

    def drop_oldest(self):
        """Drop the contents that were added first if there are too many."""
        while len(self.crashes) > MAX_CONTENTS:
            del self.crashes[next(iter(self.crashes))]

    def merge_remote(self, remote, now):
        """Merge the (content, lifetimes) pairs reported by another entry."""
        for content, lifetimes in remote:
            reported = frozenset(tuple(lifetime) for lifetime in lifetimes)
            known, _ = self.crashes.get(content, (frozenset(), now))
            if not reported <= known:
                self.add_crashes(content, reported, now)

    def is_blocked(self, content, now):
        """Return whether a content has crashed too many endpoints recently."""
        known, at = self.crashes.get(content, (frozenset(), now))
        sound = self.sound.is_sound(content, now)
        limit = SOUND_BLOCK_CRASHES if sound else BLOCK_CRASHES
        return now - at < BLOCK_SECONDS and len(known) >= limit

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
        suspected = [content for content in self.crashes if not self.is_blocked(content, now)]
        sent = suspected[-MAX_CONTENTS_SENT:] + blocked
        return tuple((content, self.lifetimes_sent(content)) for content in sent)

    def lifetimes_sent(self, content):
        """Return the lifetimes that a content crashed, as they are sent and kept."""
        known, _ = self.crashes[content]
        return tuple(sorted(known)[:MAX_LIFETIMES_SENT])

    def newest_blocked(self, now, limit):
        """Return the `limit` blocked contents whose last crashes are the newest."""
        blocked = [content for content in self.crashes if self.is_blocked(content, now)]
        return sorted(blocked, key=lambda content: self.crashes[content][1])[-limit:]

    def records(self, now):
        """Return the records of the newest blocked contents by content."""
        records = {}
        for content in self.newest_blocked(now, MAX_RECORDS):
            known, at = self.crashes[content]
            lifetimes = self.lifetimes_sent(content)
            records[content] = CrashRecord(content, len(known), lifetimes, now - at)
        return records

    def add_record(self, record, now):
        """Add a content that the directory kept; its record tells when it last crashed.

        Crashes that other entries reported came without their times.
        """
        if record.age >= BLOCK_SECONDS:
            return
        kept = frozenset(record.lifetimes)
        known, at = self.crashes.get(record.key, (frozenset(), -math.inf))
        crashed_at = now - record.age
        if not known <= kept:
            crashed_at = max(at, crashed_at)
        self.crashes[record.key] = (known | kept, crashed_at)
        self.drop_oldest()

    def expire(self, now):
        """Drop lost connections too old to be confirmed as crashes, and old suspicions."""
        self.parts.expire(now)
        for lifetime, lost in list(self.lost_connections.items()):
            kept = {name: call for name, call in lost.items() if now - call.at <= CONFIRM_SECONDS}
            if kept:
                self.lost_connections[lifetime] = kept
            else:
                del self.lost_connections[lifetime]
