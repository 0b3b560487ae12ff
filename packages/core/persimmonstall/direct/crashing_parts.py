"""Parts of prompts that crash the endpoints which begin to answer a call with them.

Calls with such a part are all different, and share their other parts and their caller with sound
ones.  A part is therefore known only by what different crashes have in common and no answer has.
Calls beside such a one are lost with it: a crash counts against the part that most crashes have
in common, not against the others.  Parts that crashed together are all blocked, however few
answers there were, and told apart by trials: a call that lacks one of them is tried at once.
"""

import attrs

from .change_log import ChangeLog
from .culprits import find_culprits
from .sound_keys import SoundKeys
from .suspect import BLOCK_CRASHES, Suspect

BLOCK_SECONDS = 600.0
SUSPECT_SECONDS = 120.0
"""Times after its last crash or trial for which a part is blocked, or only suspected."""

RECENT_SECONDS = 15.0
"""Age up to which all crashes are sent to other entries with the complete state; of older ones
those of blocked parts are."""

MAX_SOUND_PARTS = 2048
MAX_SUSPECTS = 512
"""Maximum numbers of parts that are remembered; the oldest are dropped first."""

MAX_REPORTS = 64
"""Maximum number of crashes, and of sound parts, in one datagram; the newest ones are sent."""


@attrs.frozen
class PartCrash:
    """The crash of an endpoint's lifetime, `age` seconds ago, with a call that had a part.

    `content` is the fingerprint of the call.
    """

    part: str
    content: str
    endpoint: str
    born: int
    age: float

    @property
    def lifetime(self):
        """Identifier of the endpoint's lifetime."""
        return self.endpoint, self.born


@attrs.frozen
class LostCall:
    """A call whose connection was lost at the time `at`.

    `parts` are those of its prompt that other calls may share; `begun` says that an event of its
    answer had arrived.
    """

    content: str
    parts: tuple[str, ...]
    at: float
    begun: bool = False


@attrs.define
class CrashingParts:
    """Suspected and sound parts, of this entry and as reported by others.

    `changes` has the keys (part, lifetime, content) of crashes and `cleared` the parts that are
    found sound although an entry suspects them.  `cached_culprits` is None after a change of the
    suspects.
    """

    suspects: dict = attrs.field(factory=dict)
    sound: SoundKeys = attrs.field(factory=lambda: SoundKeys(MAX_SOUND_PARTS))
    changes: ChangeLog = attrs.field(factory=ChangeLog)
    cleared: ChangeLog = attrs.field(factory=ChangeLog)
    cached_culprits: object = None

    def record_answer(self, parts, now):
        """Record an answer that went on beyond its beginning: its parts crash nothing."""
        for part in parts:
            if self.mark_sound(part, now):
                self.cleared.record(part)

    def mark_sound(self, part, now):
        """Remember a part as sound; return whether it was suspected."""
        self.sound.add(part, now)
        if self.suspects.pop(part, None) is None:
            return False
        self.cached_culprits = None
        return True

    def add_crash(self, lifetime, calls, now):
        """Record the crash of an endpoint lifetime that ran the `LostCall`s `calls`."""
        for call in calls:
            for part in call.parts:
                if not self.sound.is_sound(part, now):
                    self.add(part, lifetime, call.content, call.at)
                    self.changes.record((part, lifetime, call.content))

    def add(self, part, lifetime, content, at):
        """Record a crash of one call with a part."""
        suspect = self.suspects.setdefault(part, Suspect())
        if not suspect.add_crash((lifetime, content), at):
            return
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        self.cached_culprits = None

    def add_earlier(self, part, crashes, now):
        """Record the number of crashes of a part that was kept from before a restart."""
        if not self.sound.is_sound(part, now):
            suspect = self.suspects.setdefault(part, Suspect())
            suspect.add_earlier(crashes, now)
            suspect.last_trial = now
            self.cached_culprits = None

    def merge_remote(self, crashes, sound, now):
        """Merge the crashes and the sound parts that another entry reports.

        A part that this entry knows to be sound is reported back as such.
        """
        for part in sound:
            self.mark_sound(part, now)
        for crash in crashes:
            if self.sound.is_sound(crash.part, now):
                self.cleared.record(crash.part)
            else:
                self.add(crash.part, crash.lifetime, crash.content, now - crash.age)

    def is_blocked(self, part):
        """Return whether calls with a part are refused."""
        suspect = self.suspects.get(part)
        if suspect is None:
            return False
        if suspect.earlier >= BLOCK_CRASHES:
            return True
        return part in self.culprits()

    def culprits(self):
        """Return the `Culprits`."""
        if self.cached_culprits is None:
            self.cached_culprits = find_culprits(self.suspects)
        return self.cached_culprits

    def trial(self, parts):
        """Return the `Trial` that a call needs, of whose `parts` some are blocked, or None."""
        return self.culprits().trial(parts)

    def blocked_parts(self, parts):
        """Return the blocked ones of `parts`."""
        return [part for part in parts if self.is_blocked(part)]

    def blocked(self):
        """Return the number of crashes by blocked part."""
        return {part: self.suspects[part].count() for part in self.blocked_parts(self.culprits())}

    def crashed_by_blocked_parts(self):
        """Return the lifetimes of the endpoints that blocked parts have crashed."""
        blocked = self.blocked_parts(self.culprits())
        return set().union(*(self.suspects[part].lifetimes() for part in blocked))

    def trial_wait(self, part, telling, now):
        """Return the seconds until a call may be tried for the group of a part, 0 for now.

        Return None if the part is not suspected here; if it is sound, the others are told.
        """
        suspect = self.suspects.get(part)
        if suspect is None:
            if self.sound.is_sound(part, now):
                self.cleared.record(part)
            return None
        group = self.culprits().group(part)
        crashes = max(self.suspects[other].count() for other in group)
        if telling and len(group) > 1:
            wait = suspect.telling_trial_wait(crashes, now)
        else:
            wait = suspect.trial_wait(crashes, now)
        return max(0.0, suspect.blocked_since() + BLOCK_SECONDS - now) if wait is None else wait

    def start_trial(self, part, telling, now):
        """Record that a call is tried."""
        self.suspects[part].start_trial(telling, now)

    def local_changes(self, now):
        """Return the (crashes, sound parts) that changed lately, to be sent to other entries."""
        keys = [key for key in self.changes.pending() if self.crash_time(key) is not None]
        return self.reports(keys, now), self.cleared.pending()[-MAX_REPORTS:]

    def local_state(self, now):
        """Return all (crashes, sound parts) that other entries may lack."""
        culprits = self.culprits()
        keys = [
            (part, lifetime, content)
            for part, suspect in self.suspects.items()
            for (lifetime, content), at in suspect.newest_crashes()
            if part in culprits or now - at < RECENT_SECONDS
        ]
        return self.reports(keys, now), self.cleared.pending()[-MAX_REPORTS:]

    def crash_time(self, key):
        """Return the time of the crash (part, lifetime, content), None if it is unknown."""
        part, lifetime, content = key
        suspect = self.suspects.get(part)
        return None if suspect is None else suspect.crashes.get((lifetime, content))

    def reports(self, keys, now):
        """Return reports of the newest `MAX_REPORTS` crashes among `keys`."""
        newest = sorted(keys, key=self.crash_time)[-MAX_REPORTS:]
        return tuple(
            PartCrash(part, content, *lifetime, round(now - self.crash_time(key), 3))
            for key in newest
            for part, lifetime, content in (key,)
        )

    def mark_sent(self):
        """Record that the pending changes were sent."""
        self.changes.mark_sent()
        self.cleared.mark_sent()

    def expire(self, now):
        """Drop suspects whose last crash is long ago."""
        culprits = self.culprits()
        for part, suspect in list(self.suspects.items()):
            seconds = BLOCK_SECONDS if part in culprits else SUSPECT_SECONDS
            if now - suspect.blocked_since() >= seconds:
                del self.suspects[part]
                self.cached_culprits = None
