"""Waits for the bytes of an endpoint, and decides whether to leave one that is silent."""

from persimmonstall.direct.silence import longest_silence

from .endpoint_client import (
    CATCH_UP_SECONDS,
    CONNECT_SECONDS,
    SUSPENSION_SECONDS,
    accepts_connections,
)

RECONSIDER_SECONDS = 0.5
"""Interval at which it is checked again whether a silent endpoint can be left."""


class SilenceWatch:
    """The silence of the endpoint of an `attempt`, which counts from its last event.

    `heard_at` is the time of the last event, or of the sending; `decide_at` is when it is next
    decided whether to leave the endpoint, None if no wait has begun since.  `followed_by` is the
    `PlacedAttempt` for which the endpoint was left, None for none.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.entry = attempt.entry
        self.heard_at = self.entry.now()
        self.decide_at = None
        self.followed_by = None

    def hear(self):
        """Record that the call was sent or an event has arrived."""
        self.heard_at = self.entry.now()
        self.decide_at = None

    def silent_seconds(self):
        """Return the seconds since the last event, or since the call was sent."""
        return self.entry.now() - self.heard_at

    def longest_wait(self):
        """Return the seconds from the last event, or from the sending, to the deadline."""
        return self.attempt.routed.deadline - self.heard_at

    async def receive(self, read, timeout):
        """Return the result of `read(seconds)`; raise TimeoutError to leave a silent endpoint.

        `timeout` counts from the last event, however often bytes arrive meanwhile.  A sound
        endpoint may go on, so one that accepts connections is left later, and only for an attempt
        that is certain to follow.
        """
        limit = min(longest_silence(self.attempt.routed.route, timeout), self.longest_wait())
        if self.decide_at is None:
            reserved = CONNECT_SECONDS if limit > timeout else 0.0
            self.decide_at = self.heard_at + timeout - reserved
        while True:
            try:
                return await read(self.read_seconds())
            except TimeoutError:
                self.decide_at = self.entry.now() + await self.seconds_to_wait(limit)

    def read_seconds(self):
        """Return the timeout of a read; after a suspension what has arrived can still be read."""
        seconds = self.decide_at - self.entry.now()
        return max(seconds, CATCH_UP_SECONDS if seconds < -SUSPENSION_SECONDS else 0.0)

    async def seconds_to_wait(self, limit):
        """Return how long to wait on for a silent endpoint; raise TimeoutError to leave it."""
        silent = self.silent_seconds()
        if silent >= self.longest_wait():
            raise TimeoutError
        if silent >= limit:
            attempt = self.attempt
            self.followed_by = await self.entry.call_handler.prepare_retry(
                attempt.routed, attempt.history, attempt.endpoint
            )
        if self.followed_by is not None or not await accepts_connections(self.attempt.endpoint):
            raise TimeoutError
        return limit - silent if silent < limit else RECONSIDER_SECONDS
