"""Interface for placing attempts on endpoints and for deciding on retries."""

import abc


class Placer(abc.ABC):
    """Chooses endpoints by their known load; times are in seconds."""

    @abc.abstractmethod
    def place(self, work, avoided, now):
        """Return the `PlacementDecision` for the next attempt of `work`, or a `Failure`.

        Endpoints in `avoided` are not chosen.
        """

    @abc.abstractmethod
    def pool_of(self, work):
        """Return the key of the pool of endpoints that serve `work`."""

    @abc.abstractmethod
    def pools(self):
        """Return the names of the available endpoints by pool key."""

    @abc.abstractmethod
    def retry_delay(self, work, reason, attempt, now):
        """Return the seconds to wait before a retry after `attempt` attempts, or None for none."""

    @abc.abstractmethod
    def first_token_timeout(self, work, placed, now):
        """Return the seconds to wait for the first token before a retry; may be infinite."""

    @abc.abstractmethod
    def may_retry_late(self, work, endpoint, now):
        """Whether work without a first token from `endpoint` may be retried elsewhere."""

    @abc.abstractmethod
    def predict(self, work):
        """Return the predicted number of output tokens of `work`."""

    @abc.abstractmethod
    def observe_output(self, work, used):
        """Update the prediction with the number of output tokens of an answer."""

    @abc.abstractmethod
    def on_submit(self, work, placed, now):
        """Record an attempt that was sent."""

    @abc.abstractmethod
    def on_first_token(self, work, endpoint, now):
        """Record the first token of an attempt."""

    @abc.abstractmethod
    def on_end(self, work, endpoint, result, now):
        """Record the result of an attempt."""

    @abc.abstractmethod
    def on_loads(self, instance, loads, now):
        """Update the loads of an instance's endpoints."""

    @abc.abstractmethod
    def on_leaving(self, endpoints):
        """Stop placing work on these endpoints."""

    @abc.abstractmethod
    def on_link_down(self, instance):
        """Stop placing work on the endpoints of an instance until it reports loads again."""
