"""Calls that crash the endpoints that run them, told apart by their content."""

import attrs
import xxhash

MAX_CRASHES = 2
"""Endpoint lifetimes lost to one content after which it is refused."""

CONFIRM_SECONDS = 8.0
"""Time in which the end of an endpoint's lifetime confirms that a lost call met a crash."""

REMEMBER_SECONDS = 600.0
"""Time for which a content's crashes are remembered."""

MAX_CONTENTS = 2048


def content_of(call):
    """Return the fingerprint of what a call asks, whoever sends it and however often."""
    digest = xxhash.xxh3_64(f"{call.method} {call.host}{call.target} {call.key} ".encode())
    digest.update(call.body)
    return digest.hexdigest()


@attrs.define
class CrashTracker:
    """Endpoint lifetimes that ended while they ran a content, by its fingerprint.

    A lost connection alone says little; it counts once the endpoint does not accept connections
    any more, or its lifetime has ended.
    """

    losses: dict = attrs.field(factory=dict)
    unconfirmed: dict = attrs.field(factory=dict)

    def record_lost_connection(self, content, lifetime, now):
        """Note that an endpoint broke a connection off while it ran a content."""
        self.unconfirmed.setdefault(lifetime, {})[content] = now

    def confirm_crash(self, lifetime, now):
        """Note that an endpoint is dead; return the contents that this counts against."""
        lost = self.unconfirmed.pop(lifetime, {})
        counted = [content for content, at in lost.items() if now - at <= CONFIRM_SECONDS]
        for content in counted:
            self.count(content, (lifetime,), now)
        return counted

    def count(self, content, lifetimes, now):
        """Add lifetimes that ended under a content."""
        known, _ = self.losses.pop(content, (frozenset(), now))
        self.losses[content] = (known | frozenset(lifetimes), now)
        while len(self.losses) > MAX_CONTENTS:
            del self.losses[next(iter(self.losses))]

    def merge_remote(self, remote, now):
        """Take what another entry counted: (content, lifetimes) pairs."""
        for content, lifetimes in remote:
            fresh = frozenset(tuple(lifetime) for lifetime in lifetimes)
            known, _ = self.losses.get(content, (frozenset(), now))
            if not fresh <= known:
                self.count(content, fresh, now)

    def is_blocked(self, content, now):
        """Return whether a content has cost too many endpoints."""
        known, at = self.losses.get(content, (frozenset(), now))
        return now - at < REMEMBER_SECONDS and len(known) >= MAX_CRASHES

    def local_state(self, most=16):
        """Return the newest (content, lifetimes) pairs, as other entries are told."""
        newest = list(self.losses.items())[-most:]
        return tuple((content, tuple(sorted(known))) for content, (known, _) in newest)

    def expire(self, now):
        """Forget unconfirmed losses that are too old to be confirmed."""
        for lifetime, lost in list(self.unconfirmed.items()):
            kept = {content: at for content, at in lost.items() if now - at <= CONFIRM_SECONDS}
            if kept:
                self.unconfirmed[lifetime] = kept
            else:
                del self.unconfirmed[lifetime]
