"""What the entry asks of placement: where an attempt goes and whether another is allowed."""

import abc

import attrs

from persimmonstall.failures import Failure, Reason

STEP = "place"


@attrs.frozen
class Placed:
    """The endpoint chosen for an attempt, and the engine priority to ask for."""

    endpoint: str
    priority: int


class Placer(abc.ABC):
    """Chooses endpoints from what is known of their load; times in seconds."""

    @abc.abstractmethod
    def place(self, work, avoided, now):
        """Return `Placed` for the next attempt, not among `avoided`, or a `Failure`."""

    @abc.abstractmethod
    def may_retry(self, work, reason, now):
        """Whether the retry budget allows another attempt."""

    @abc.abstractmethod
    def on_submit(self, work, placed, now):
        """Note an attempt that was sent."""

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


class LeastOutstanding(Placer):
    """Chooses the endpoint with the fewest requests in flight from here."""

    def __init__(self):
        self.loads = {}
        self.instances = {}
        self.outstanding = {}
        self.leaving = set()

    def place(self, work, avoided, now):
        """Return the candidate with the fewest requests in flight."""
        names = [name for name, load in self.loads.items() if self.fits(name, load, work, avoided)]
        if not names:
            return Failure(Reason.NO_ENDPOINT, STEP, detail="no endpoint can take this request")
        chosen = min(names, key=lambda name: (self.outstanding.get(name, 0), name))
        return Placed(chosen, work.priority)

    def fits(self, name, load, work, avoided):
        """Whether an endpoint can take the work."""
        if name in avoided or name in self.leaving or load.leaving:
            return False
        return work.model in load.models

    def may_retry(self, work, reason, now):
        """Allow every retry; the number of attempts is bounded elsewhere."""
        return True

    def on_submit(self, work, placed, now):
        """Count an attempt as in flight."""
        self.outstanding[placed.endpoint] = self.outstanding.get(placed.endpoint, 0) + 1

    def on_end(self, work, endpoint, result, now):
        """Count an attempt as ended."""
        self.outstanding[endpoint] = max(0, self.outstanding.get(endpoint, 0) - 1)

    def on_loads(self, instance, loads, now):
        """Keep the latest load of each endpoint."""
        for load in loads:
            self.loads[load.endpoint] = load
            self.instances[load.endpoint] = instance.name

    def on_leaving(self, endpoints):
        """Place nothing more on these endpoints."""
        self.leaving.update(endpoints)

    def on_link_down(self, instance):
        """Forget the endpoints behind an instance."""
        for endpoint, name in list(self.instances.items()):
            if name == instance:
                self.loads.pop(endpoint, None)
                self.instances.pop(endpoint)
