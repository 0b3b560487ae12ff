"""Queue of an engine in order of arrival."""

from collections import deque

from .engine_queue import EngineQueue


class FifoQueue(EngineQueue):
    """Passes attempts to the engine at once, in order of arrival; for the baseline policies."""

    def __init__(self, settings):
        super().__init__(settings)
        self.order = deque()

    def offer(self, submit, cached, now):
        """Enqueue an attempt; none is refused."""
        attempt = self.estimate(submit, cached, now)
        self.waiting[attempt.key] = attempt
        self.order.append(attempt)
        return attempt

    def next(self, now):
        """Dequeue and return the oldest attempt, or None."""
        while self.order:
            attempt = self.order.popleft()
            if not attempt.removed:
                return self.start(attempt, now)
        return None

    def remove_infeasible(self, now):
        """Return nothing: attempts are not checked against their deadlines here."""
        return []

    def priority(self, attempt):
        """Return the priority of the attempt's organisation."""
        return attempt.submit.priority

    def chunk_tokens(self, attempt):
        """Return the chunk size of the settings."""
        return self.settings.placing.chunk_tokens
