"""What endpoints say in their answers about the calls that they want: none for a while, or ever.

Neither is a failure of the endpoint.  A pause holds for the entry that was asked for it alone.
"""

import attrs

from .change_log import ChangeLog

LEAVING_SECONDS = 600.0
"""Time for which an endpoint lifetime that said it leaves is remembered, listed or not."""

MAX_LEAVING = 4096
"""Maximum number of such lifetimes; the oldest are dropped first."""

MAX_PAUSED = 4096
"""Maximum number of pauses; the oldest are dropped first."""

MAX_SENT = 64
"""Maximum number of lifetimes in one datagram; the newest are sent."""


@attrs.frozen
class Notice:
    """What the head of an answer says about later calls.

    `leaving` says that the endpoint is about to end, `pause` for how many seconds it wants no
    calls from this entry, None if it names no time.
    """

    leaving: bool = False
    pause: float | None = None

    def __bool__(self):
        return self.leaving or self.pause is not None


NOTHING = Notice()


@attrs.define
class EndpointNotices:
    """The endpoint lifetimes that leave, with the time of that, and when pauses end.

    `changes` are the lifetimes whose leaving this entry has seen in an answer.
    """

    leaving: dict = attrs.field(factory=dict)
    paused_until: dict = attrs.field(factory=dict)
    changes: ChangeLog = attrs.field(factory=ChangeLog)

    def record(self, lifetime, notice, now):
        """Record a `Notice`; return whether the endpoint's leaving is new."""
        if notice.pause is not None:
            self.pause(lifetime, now + notice.pause)
        if not notice.leaving or lifetime in self.leaving:
            return False
        self.add_leaving(lifetime, now)
        self.changes.record(lifetime)
        return True

    def pause(self, lifetime, until):
        """Send no calls to an endpoint before the time `until`; of two pauses the longer holds."""
        known = self.paused_until.pop(lifetime, until)
        self.paused_until[lifetime] = max(known, until)
        drop_oldest(self.paused_until, MAX_PAUSED)

    def add_leaving(self, lifetime, now):
        """Record that an endpoint leaves; it does so for the rest of its lifetime."""
        self.leaving[lifetime] = now
        drop_oldest(self.leaving, MAX_LEAVING)

    def merge_remote(self, lifetimes, now):
        """Merge the leaving lifetimes that another entry reports; return those that are new."""
        new = [lifetime for lifetime in lifetimes if lifetime not in self.leaving]
        for lifetime in new:
            self.add_leaving(lifetime, now)
        return new

    def seconds_paused(self, lifetime, now):
        """Return the seconds for which an endpoint still wants no calls, 0 if it takes some."""
        return max(0.0, self.paused_until.get(lifetime, now) - now)

    def accepts(self, lifetime, now):
        """Return whether new calls may be sent to an endpoint."""
        return lifetime not in self.leaving and not self.seconds_paused(lifetime, now)

    def local_changes(self):
        """Return the lifetimes that were found to leave lately."""
        return self.changes.pending()[-MAX_SENT:]

    def local_state(self):
        """Return the newest leaving lifetimes."""
        return tuple(self.leaving)[-MAX_SENT:]

    def expire(self, now):
        """Drop pauses that are over, and lifetimes that left long ago."""
        for lifetime in [each for each, until in self.paused_until.items() if until <= now]:
            del self.paused_until[lifetime]
        for lifetime in [e for e, at in self.leaving.items() if now - at >= LEAVING_SECONDS]:
            del self.leaving[lifetime]


def drop_oldest(entries, limit):
    """Drop the entries of a dict that were added first while it has more than `limit`."""
    while len(entries) > limit:
        del entries[next(iter(entries))]
