"""Keeps the beacons of all entries within a share of the slowest link and of their processors.

Every entry sends to every other one, so what an entry receives is what the others send: with one
rate for all, neither direction of any link carries more than the share.  The same holds for the
number of datagrams, each of which costs processor time at both ends.
"""

import math

import attrs

from ..limits.bucket import Bucket

LINK_SHARE = 0.25
"""Share of the slowest link that beacons may use; the rest is for calls."""

WHOLE_SHARE = 0.5
"""Share of the beacons' bytes for those that carry the complete state."""

BURST_SECONDS = 0.1
"""Time whose bytes may be sent at once."""

MAX_DATAGRAMS_PER_SECOND = 800.0
"""Datagrams that an entry may send per second; it receives as many."""

DATAGRAM_BURST_SECONDS = 0.5
"""Time whose datagrams may be sent at once."""

DATAGRAM_HEADER_BYTES = 28
"""Bytes of the IP and UDP headers of a datagram."""

MIN_INTERVAL_SECONDS = 0.1
INTERVAL_SECONDS_PER_PEER = 0.012
"""Interval of beacons without a change: a minimum in seconds, and seconds for each peer."""

MAX_INTERVAL_SECONDS = 0.5
"""Longest interval of beacons without a change, so that several fit into the time after which a
peer counts as silent, also if a tenth of all datagrams is lost."""

CHANGES_SECONDS = 0.75
WHOLE_SECONDS = 0.5
"""Times whose bytes the changes for all peers, and the complete states for some, may use at once.

Their sum is shorter than the time in which a second beacon has to come.
"""


def heartbeat_interval(peer_count):
    """Return the interval in seconds of beacons without a change.

    >>> heartbeat_interval(1), heartbeat_interval(25), heartbeat_interval(300)
    (0.1, 0.3, 0.5)
    """
    interval = INTERVAL_SECONDS_PER_PEER * peer_count
    return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, interval))


def new_datagram_bucket():
    """Return the bucket of the datagrams that may be sent."""
    rate = MAX_DATAGRAMS_PER_SECOND
    return Bucket(rate, rate * DATAGRAM_BURST_SECONDS, 0.0)


@attrs.define
class BeaconPacer:
    """Says when the next beacons may be sent; sending may exceed the bucket and is paid back."""

    bucket: Bucket = attrs.field(factory=lambda: Bucket(0.0, 0.0, 0.0))
    datagrams: Bucket = attrs.field(factory=new_datagram_bucket)

    def set_links(self, links, now):
        """Set the rate by the `links` of all entries, in bytes per second."""
        rate = LINK_SHARE * min(links)
        if rate != self.bucket.rate:
            self.bucket.resize(rate, rate * BURST_SECONDS, now)

    def record_sent(self, size, now):
        """Record that a datagram with `size` bytes of data is sent."""
        self.bucket.take(size + DATAGRAM_HEADER_BYTES, now)
        self.datagrams.take(1, now)

    def wait(self, now):
        """Return the seconds until beacons may be sent again.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([40_000.0, 80_000.0], 0.0)
        >>> pacer.record_sent(1_972, 0.0)
        >>> pacer.wait(0.0)
        0.2
        """
        return max(self.bucket.wait(0.0, now), self.datagrams.wait(0.0, now))

    def whole_interval(self, size, peer_count):
        """Return the interval in seconds at which each peer gets a complete state of `size` bytes.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([800_000.0], 0.0)
        >>> pacer.whole_interval(972, 10), pacer.whole_interval(1972, 30)
        (0.12, 0.6)
        """
        bytes_for_all = peer_count * (size + DATAGRAM_HEADER_BYTES)
        affordable = bytes_for_all / (WHOLE_SHARE * self.bucket.rate)
        return max(heartbeat_interval(peer_count), affordable)

    def max_changes_bytes(self, peer_count):
        """Return the bytes up to which the changes fit into one round to all peers.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([800_000.0], 0.0)
        >>> round(pacer.max_changes_bytes(100))
        1472
        """
        if not self.bucket.rate:
            return math.inf
        return CHANGES_SECONDS * self.bucket.rate / max(1, peer_count) - DATAGRAM_HEADER_BYTES

    def max_whole_states(self, size):
        """Return the number of complete states of `size` bytes that one round may hold.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([800_000.0], 0.0)
        >>> pacer.max_whole_states(972)
        100
        """
        affordable = WHOLE_SECONDS * self.bucket.rate / (size + DATAGRAM_HEADER_BYTES)
        return max(1, round(affordable))
