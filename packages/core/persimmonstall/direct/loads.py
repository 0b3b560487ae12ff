"""What is in flight at each endpoint, by this entry and by all others."""

import attrs

from .engine_model import EngineModel
from .slowdowns import Slowdowns

SILENT_OWNER = 3.0
"""Seconds after which the flights of an entry that is not heard are dropped."""


@attrs.frozen
class EndpointDemand:
    """What one flight asks of one endpoint; `read` is in seconds, `context` in tokens.

    `writes` is false where a part of a prompt is only read.  The caller wants its first event
    within `patience` seconds; `worth` is that of the call, 1 for a usual short one.
    """

    endpoint: str
    read: float = 0.0
    context: int = 0
    memory: int = 0
    writes: bool = True
    gap: float = 1.0
    patience: float = 1.0
    worth: float = 1.0


@attrs.frozen
class InFlightAttempt:
    """One attempt in flight; `name` is unique among all entries."""

    name: str
    demands: tuple[EndpointDemand, ...]
    started: bool = False


@attrs.define
class PlainLoad:
    """Calls in flight at a plain service's endpoint."""

    slowdown: float = 1.0
    attempts: set = attrs.field(factory=set)

    def begin(self, attempt, _piece, _now):
        """Add a call."""
        self.attempts.add(attempt)

    def end(self, attempt):
        """Forget a call."""
        self.attempts.discard(attempt)

    def prefill_done(self, attempt):
        """Nothing changes when the answer begins."""

    def advance(self, now):
        """Nothing changes with time."""

    def expected_gap(self):
        """Return None: a plain service writes no streams whose pauses could be predicted."""

    def running(self):
        """Return the number of calls in flight."""
        return len(self.attempts)


@attrs.define
class LoadTracker:
    """Flights of all entries, and a prediction for each endpoint that they use."""

    loads: dict = attrs.field(factory=dict)
    attempts: dict = attrs.field(factory=dict)
    owned: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    slowdowns: Slowdowns = attrs.field(factory=Slowdowns)

    def load_of(self, endpoint, service, now):
        """Return the load of an `Endpoint` of `service`, followed up to `now`."""
        load = self.loads.get(endpoint.name)
        figures = service.engine
        if load is None or getattr(load, "figures", None) != figures:
            load = self.make(endpoint, figures, now)
        load.slowdown = self.slowdowns.slowdown(endpoint.name, now)
        load.advance(now)
        return load

    def make(self, endpoint, figures, now):
        """Start the load of an endpoint with the flights that are known of it."""
        load = PlainLoad() if figures is None else EngineModel(figures, busy_until=now)
        self.loads[endpoint.name] = load
        for attempt in self.attempts.values():
            for demand in attempt.demands:
                if demand.endpoint == endpoint.name:
                    join(load, attempt, demand, now)
        return load

    def used_by(self, attempt):
        """Return the (load, piece) pairs of a flight, as far as there are loads."""
        pairs = ((self.loads.get(demand.endpoint), demand) for demand in attempt.demands)
        return [(load, demand) for load, demand in pairs if load is not None]

    def begin(self, attempt, now, owner=""):
        """Add a flight; `owner` is the entry that made it, empty for this one."""
        self.attempts[attempt.name] = attempt
        self.owned.setdefault(owner, set()).add(attempt.name)
        for load, demand in self.used_by(attempt):
            join(load, attempt, demand, now)

    def record_first_event(self, name):
        """Note that a flight's first event was seen."""
        attempt = self.attempts.get(name)
        if attempt is None or attempt.started:
            return
        self.attempts[name] = attrs.evolve(attempt, started=True)
        for load, _ in self.used_by(attempt):
            load.prefill_done(name)

    def record_gap(self, endpoint_name, seconds, events, now):
        """Note that `events` events of a stream came `seconds` after the one before them.

        Several come together where this entry was late to read them.  Return whether the
        endpoint counts as slow from now on, or no more.
        """
        load = self.loads.get(endpoint_name)
        usual = load.expected_gap() if load is not None else None
        if usual is None:
            return False
        return self.slowdowns.observe(endpoint_name, seconds / (events * usual), now)

    def end(self, name, owner=""):
        """Remove a flight."""
        attempt = self.attempts.pop(name, None)
        self.owned.get(owner, set()).discard(name)
        if attempt is None:
            return
        for load, _ in self.used_by(attempt):
            load.end(name)

    def local_attempts(self):
        """Return this entry's flights, as other entries are told of them."""
        return tuple(self.attempts[name] for name in self.owned.get("", ()))

    def merge_remote(self, owner, attempts, now):
        """Take the whole list of another entry's flights."""
        self.heard[owner] = now
        named = {attempt.name for attempt in attempts}
        for name in self.owned.get(owner, set()) - named:
            self.end(name, owner)
        for attempt in attempts:
            if attempt.name not in self.attempts:
                self.begin(attempt, now, owner)
            elif attempt.started:
                self.record_first_event(attempt.name)

    def expire(self, now):
        """Drop the flights of entries that have gone silent."""
        for owner, heard in list(self.heard.items()):
            if now - heard > SILENT_OWNER:
                self.merge_remote(owner, (), now)
                del self.heard[owner]

    def forget(self, names):
        """Drop the loads of all endpoints but those in `names`."""
        for name in set(self.loads) - set(names):
            del self.loads[name]
        self.slowdowns.forget(names)


def join(load, attempt, demand, now):
    """Add a piece of a flight to the load of the endpoint that it uses."""
    load.begin(attempt.name, demand, now)
    if attempt.started:
        load.prefill_done(attempt.name)
