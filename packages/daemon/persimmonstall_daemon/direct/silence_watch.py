"""Waits for the bytes of an endpoint, and decides whether to leave one that is silent."""

from persimmonstall.direct.silence import silence_timeouts
from persimmonstall.failures import Failure

from .connecting import (
    CATCH_UP_SECONDS,
    CONNECT_SECONDS,
    SUSPENSION_SECONDS,
    accepts_connections,
)


class SilenceWatch:
    """The silence of the endpoint of an `attempt`, which counts from its last event.

    `last_event_at` is the time of the last event, at first of the sending.  `decide_at` is when it
    is next decided whether to leave the endpoint, None if no wait has begun since.  `followed_by`
    is the `PlacedAttempt` for which the endpoint was left, None for none.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.entry = attempt.entry
        self.last_event_at = self.entry.now()
        self.decide_at = None
        self.followed_by = None

    def restart(self):
        """Restart the watch: the call was sent, or an event has arrived."""
        self.last_event_at = self.entry.now()
        self.decide_at = None

    def record_sent(self):
        """Count from now: the endpoint has only now got the call.

        This entry may have been held up since it began to connect, and that is no silence.
        """
        self.last_event_at = self.entry.now()

    def silent_seconds(self):
        """Return the seconds since the last event, or since the call was sent."""
        return self.entry.now() - self.last_event_at

    def longest_wait(self):
        """Return the seconds from the last event, or from the sending, to the deadline."""
        return self.attempt.routed.deadline - self.last_event_at

    async def receive(self, read, timeout):
        """Return the result of `read(seconds)`; raise TimeoutError to leave a silent endpoint.

        `timeout` counts from the last event, however often bytes arrive meanwhile.  A sound
        endpoint may go on, so one that accepts connections is left later, and only for an attempt
        that is certain to follow.
        """
        timeouts = self.timeouts(timeout)
        if self.decide_at is None:
            self.decide_at = self.last_event_at + timeouts.seconds_to_next(0.0)
        while True:
            try:
                result = await self.read_or_decide(read, timeouts)
            except TimeoutError:
                if self.followed_by is not None or self.silent_seconds() >= timeouts.end:
                    raise
                continue
            if not isinstance(result, Failure):
                self.entry.state.failure_scores.record_sign_of_life(self.attempt.endpoint.name)
            return result

    async def read_or_decide(self, read, timeouts):
        """Return the result of a read; after its timeout decide, and raise TimeoutError.

        What has arrived while that was decided is returned all the same.
        """
        try:
            return await read(self.read_seconds())
        except TimeoutError:
            await self.decide(timeouts)
        self.decide_at = self.entry.now() + timeouts.seconds_to_next(self.silent_seconds())
        result = await read(0.0)
        self.followed_by = None
        return result

    def timeouts(self, timeout):
        """Return the `SilenceTimeouts` of the present wait."""
        attempt = self.attempt
        usual = 0.0 if attempt.batches_relayed else attempt.placed.predicted_first_event
        end = self.longest_wait()
        return silence_timeouts(attempt.routed.route, timeout, end, usual, CONNECT_SECONDS)

    def read_seconds(self):
        """Return the timeout of a read; after a suspension what has arrived can still be read."""
        seconds = self.decide_at - self.entry.now()
        return max(seconds, CATCH_UP_SECONDS if seconds < -SUSPENSION_SECONDS else 0.0)

    async def decide(self, timeouts):
        """Set `followed_by` if a silent endpoint is to be left and another attempt can follow."""
        attempt, silent = self.attempt, self.silent_seconds()
        if not timeouts.conspicuous <= silent < timeouts.end:
            return
        self.record_silence()
        leave = silent >= timeouts.leave or (
            silent >= timeouts.check and not await accepts_connections(attempt.endpoint)
        )
        if leave:
            self.followed_by = await self.entry.call_handler.prepare_retry(
                attempt.routed, attempt.history, attempt.endpoint
            )

    def record_silence(self):
        """Record that the endpoint is silent, unless a helper may be the one that is."""
        request, now = self.attempt.placed.request, self.entry.now()
        if not request.helpers:
            self.entry.state.failure_scores.record_silence(request.endpoint.name, now)
