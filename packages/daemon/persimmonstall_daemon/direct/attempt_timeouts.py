"""How long an attempt waits for its endpoint, which another one may follow in time."""

from persimmonstall.direct.retrying import is_last_run

FIRST_EVENT_FACTOR = 2.0
MIN_FIRST_EVENT_SECONDS = 1.2
"""Timeout of the first event: a multiple of the objective, and a minimum in seconds."""

FIRST_ANSWER_FACTOR = 0.6
LAST_ANSWER_FACTOR = 2.5
"""Timeouts of a non-streamed answer, as multiples of the objective: of an attempt that
another one may follow, and of the last attempt."""

GAP_FACTOR = 2.5
MIN_GAP_SECONDS = 1.2
"""Timeout between events: a multiple of the gap objective, and a minimum in seconds."""


class AttemptTimeouts:
    """The timeouts of an `attempt` in seconds; they count from the last event of its endpoint."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.route = attempt.routed.route

    @property
    def remaining(self):
        """The seconds from the last event to the deadline."""
        return self.attempt.watch.longest_wait()

    @property
    def last(self):
        """Whether no other endpoint may run the call after this one."""
        return is_last_run(self.attempt.routed, self.attempt.history)

    def initial(self):
        """Return the timeout of the first event, or of a non-streamed answer.

        Only calls that may be repeated time out before their deadline, and of streams that the
        caller has a part of only those that may go on at another endpoint.  A non-streamed call
        times out early while another endpoint can still answer within the objective.
        """
        started = self.attempt.history.response_started
        if not self.route.repeatable or (self.last and started):
            return self.remaining
        if self.route.streaming:
            timeout = max(MIN_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * self.route.objective)
            return min(self.remaining, timeout + self.attempt.placed.predicted_first_event)
        factor = LAST_ANSWER_FACTOR if self.last else FIRST_ANSWER_FACTOR
        return min(self.remaining, factor * self.route.objective)

    def next_event(self):
        """Return the timeout of the next event.

        Only a stream that another endpoint may resume times out before its deadline.
        """
        if not self.route.resumable or self.last:
            return self.remaining
        return min(self.remaining, max(MIN_GAP_SECONDS, GAP_FACTOR * self.route.gap_objective))

    def rest_of_answer(self):
        """Return the timeout of a non-streamed answer whose head has arrived.

        It leaves time for another attempt, if one may follow.
        """
        if not self.route.repeatable or self.last:
            return self.remaining
        return min(self.remaining, LAST_ANSWER_FACTOR * self.route.objective)
