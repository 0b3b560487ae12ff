"""Keeps the beacons of all entries within a share of the slowest link among them.

Every entry sends to every other one, so what an entry receives is what the others send: with one
rate for all, neither direction of any link carries more than the share.
"""

import attrs

from ..limits.bucket import Bucket

LINK_SHARE = 0.25
"""Share of the slowest link that beacons may use; the rest is for calls."""

WHOLE_SHARE = 0.5
"""Share of the beacons' bytes for those that carry the complete state."""

BURST_SECONDS = 0.1
"""Time whose bytes may be sent at once."""

DATAGRAM_HEADER_BYTES = 28
"""Bytes of the IP and UDP headers of a datagram."""

MIN_INTERVAL_SECONDS = 0.1
INTERVAL_SECONDS_PER_PEER = 0.012
"""Interval of beacons without a change: a minimum in seconds, and seconds for each peer."""

MAX_INTERVAL_SECONDS = 1.0
"""Longest interval of beacons without a change, and of complete states, so that several fit into
the time after which a peer counts as silent."""


def heartbeat_interval(peer_count):
    """Return the interval in seconds of beacons without a change.

    >>> heartbeat_interval(1), heartbeat_interval(50), heartbeat_interval(300)
    (0.1, 0.6, 1.0)
    """
    interval = INTERVAL_SECONDS_PER_PEER * peer_count
    return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, interval))


@attrs.define
class BeaconPacer:
    """Says when the next beacons may be sent; sending may exceed the bucket and is paid back."""

    bucket: Bucket = attrs.field(factory=lambda: Bucket(0.0, 0.0, 0.0))

    def set_links(self, links, now):
        """Set the rate by the `links` of all entries, in bytes per second."""
        rate = LINK_SHARE * min(links)
        if rate != self.bucket.rate:
            self.bucket.resize(rate, rate * BURST_SECONDS, now)

    def record_sent(self, size, now):
        """Record that a datagram with `size` bytes of data is sent."""
        self.bucket.take(size + DATAGRAM_HEADER_BYTES, now)

    def wait(self, now):
        """Return the seconds until beacons may be sent again.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([40_000.0, 80_000.0], 0.0)
        >>> pacer.record_sent(1_972, 0.0)
        >>> pacer.wait(0.0)
        0.2
        """
        return self.bucket.wait(0.0, now)

    def whole_interval(self, size, peer_count):
        """Return the interval in seconds at which each peer gets a complete state of `size` bytes.

        >>> pacer = BeaconPacer()
        >>> pacer.set_links([800_000.0], 0.0)
        >>> pacer.whole_interval(972, 10), pacer.whole_interval(1972, 30)
        (0.12, 0.6)
        """
        bytes_for_all = peer_count * (size + DATAGRAM_HEADER_BYTES)
        affordable = bytes_for_all / (WHOLE_SHARE * self.bucket.rate)
        return min(MAX_INTERVAL_SECONDS, max(heartbeat_interval(peer_count), affordable))
