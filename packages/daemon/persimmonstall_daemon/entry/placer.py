"""What the entry asks of placement: where an attempt goes and whether another is allowed."""

import abc


class Placer(abc.ABC):
    """Chooses endpoints from what is known of their load; times in seconds."""

    @abc.abstractmethod
    def place(self, work, avoided, now):
        """Return `PlacementDecision` for the next attempt, not among `avoided`, or a `Failure`.

        The `PlacementDecision` is that of `persimmonstall.placement.policy`.
        """

    @abc.abstractmethod
    def pool_of(self, work):
        """Return the key of the pool of endpoints that serve `work`."""

    @abc.abstractmethod
    def pools(self):
        """Return the names of the usable endpoints by pool key."""

    @abc.abstractmethod
    def retry_delay(self, work, reason, attempt, now):
        """Return the seconds before another attempt after `attempt` ones, None for no other."""

    @abc.abstractmethod
    def first_token_timeout(self, work, placed, now):
        """Return the seconds to wait for a first token before going elsewhere; may be infinite."""

    @abc.abstractmethod
    def may_retry_late(self, work, endpoint, now):
        """Whether work whose first token is late at `endpoint` may be attempted elsewhere."""

    @abc.abstractmethod
    def predict(self, work):
        """Return the output tokens that `work` will probably use."""

    @abc.abstractmethod
    def observe_output(self, work, used):
        """Learn from the output tokens that an answer used."""

    @abc.abstractmethod
    def on_submit(self, work, placed, now):
        """Note an attempt that was sent."""

    @abc.abstractmethod
    def on_first_token(self, work, endpoint, now):
        """Note the first output of an attempt."""

    @abc.abstractmethod
    def on_end(self, work, endpoint, result, now):
        """Note the end of an attempt."""

    @abc.abstractmethod
    def on_loads(self, instance, loads, now):
        """Take the loads of an instance's endpoints."""

    @abc.abstractmethod
    def on_leaving(self, endpoints):
        """Place nothing more on these endpoints."""

    @abc.abstractmethod
    def on_link_down(self, instance):
        """Place nothing behind the named instance until it reports again."""
