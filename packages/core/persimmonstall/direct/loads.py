"""Attempts in flight at each endpoint, of this entry and of all others."""

import collections

import attrs

from .change_log import ChangeLog
from .engine_model import EngineModel
from .slowdowns import Slowdowns
from .unseen import UnseenWork

ENTRY_TIMEOUT_SECONDS = 3.0
"""Seconds without a beacon of an entry after which its attempts are dropped."""

MAX_ENDED_KEPT = 64
"""Number of attempts that ended last whose names are kept, to be sent again."""


@attrs.frozen
class EndpointDemand:
    """Work of one attempt at one endpoint.

    `prefill` is the prefill time in seconds; `context` and `memory` are in tokens.  `generates` is
    false if the endpoint only prefills a part of a prompt.  The caller accepts gaps of up to
    `max_gap` seconds between events and wants the first event within `max_first_event` seconds.
    `weight` is the weight of the call, 1 for a typical short one.
    """

    endpoint: str
    prefill: float = 0.0
    context: int = 0
    memory: int = 0
    generates: bool = True
    max_gap: float = 1.0
    max_first_event: float = 1.0
    weight: float = 1.0


@attrs.frozen
class InFlightAttempt:
    """One attempt in flight; `name` is unique across all entries.

    `started` says whether its first event has been seen.
    """

    name: str
    demands: tuple[EndpointDemand, ...]
    started: bool = False


@attrs.define
class PlainLoad:
    """Calls in flight at an endpoint of a plain service, which has no model engine."""

    slowdown: float = 1.0
    attempts: set = attrs.field(factory=set)

    def begin(self, attempt, _demand, _now):
        """Add a call."""
        self.attempts.add(attempt)

    def end(self, attempt):
        """Remove a call."""
        self.attempts.discard(attempt)

    def prefill_done(self, attempt):
        """Do nothing: the start of the answer does not change the load."""

    def advance(self, now):
        """Do nothing: the load does not change with time."""

    def expected_gap(self):
        """Return None: a plain service has no streams whose gaps could be predicted."""

    def running(self):
        """Return the number of calls in flight."""
        return len(self.attempts)

    def is_idle(self):
        """Return whether no call is in flight."""
        return not self.attempts


@attrs.define
class LoadTracker:
    """Attempts of all entries, and the predicted load of each endpoint that they use.

    `names_by_entry` holds the attempt names of each entry, `last_beacon_at` the time of its last
    beacon; the key of this entry is empty.  `changes` are those of this entry's attempts, and
    `ended` are the ones that ended last, and `unseen` estimates what other entries place now.
    """

    loads: dict = attrs.field(factory=dict)
    attempts: dict = attrs.field(factory=dict)
    names_by_entry: dict = attrs.field(factory=dict)
    last_beacon_at: dict = attrs.field(factory=dict)
    slowdowns: Slowdowns = attrs.field(factory=Slowdowns)
    unseen: UnseenWork = attrs.field(factory=UnseenWork)
    changes: ChangeLog = attrs.field(factory=ChangeLog)
    ended: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ENDED_KEPT)
    )

    def load_of(self, endpoint, service, now):
        """Return the load of an `Endpoint` of `service`, advanced to `now`."""
        load = self.loads.get(endpoint.name)
        profile = service.engine
        if load is None or getattr(load, "profile", None) != profile:
            load = self.create_load(endpoint, profile, now)
        load.slowdown = self.slowdowns.slowdown(endpoint.name, now)
        load.advance(now)
        return load

    def create_load(self, endpoint, profile, now):
        """Create the load of an endpoint from the known attempts."""
        load = PlainLoad() if profile is None else EngineModel(profile, busy_until=now)
        self.loads[endpoint.name] = load
        for attempt in self.attempts.values():
            for demand in attempt.demands:
                if demand.endpoint == endpoint.name:
                    add_to_load(load, attempt, demand, now)
        return load

    def count_in_flight(self, endpoint_name):
        """Return the number of calls in flight at an endpoint, 0 if none has used it."""
        load = self.loads.get(endpoint_name)
        return 0 if load is None else load.running()

    def is_idle(self, endpoint_name):
        """Return whether no call is in flight at an endpoint, and no part of one."""
        load = self.loads.get(endpoint_name)
        return load is None or load.is_idle()

    def count_unseen(self, kind, now):
        """Return the expected number of placements of a `WorkKind` that are not known yet."""
        return self.unseen.count(kind, self.last_beacon_at, now)

    def loads_and_demands(self, attempt):
        """Return the (load, demand) pairs of an attempt, without endpoints that have no load."""
        pairs = ((self.loads.get(demand.endpoint), demand) for demand in attempt.demands)
        return [(load, demand) for load, demand in pairs if load is not None]

    def begin(self, attempt, now, entry=""):
        """Add an attempt; `entry` is the address of its entry, empty for this one."""
        self.attempts[attempt.name] = attempt
        self.names_by_entry.setdefault(entry, set()).add(attempt.name)
        self.record_change(attempt.name)
        for load, demand in self.loads_and_demands(attempt):
            add_to_load(load, attempt, demand, now)

    def record_first_event(self, name):
        """Record that the first event of an attempt was seen."""
        attempt = self.attempts.get(name)
        if attempt is None or attempt.started:
            return
        self.attempts[name] = attrs.evolve(attempt, started=True)
        self.record_change(name)
        for load, _ in self.loads_and_demands(attempt):
            load.prefill_done(name)

    def record_gap(self, endpoint_name, seconds, events, now):
        """Record that `events` events of a stream arrived `seconds` after the one before them.

        Several arrive together if this entry was late to read them.  Return whether the endpoint
        has just become slow or normal again.
        """
        load = self.loads.get(endpoint_name)
        expected = load.expected_gap() if load is not None else None
        if expected is None:
            return False
        return self.slowdowns.observe(endpoint_name, seconds / (events * expected), now)

    def end(self, name, entry=""):
        """Remove an attempt."""
        self.record_change(name)
        attempt = self.attempts.pop(name, None)
        self.names_by_entry.get(entry, set()).discard(name)
        if not entry:
            self.ended.append(name)
        if attempt is None:
            return
        for load, _ in self.loads_and_demands(attempt):
            load.end(name)

    def record_change(self, name):
        """Record a change of an attempt if it is one of this entry's."""
        if name in self.names_by_entry.get("", ()):
            self.changes.record(name)

    def local_attempts(self):
        """Return this entry's attempts, to be sent to other entries."""
        return tuple(self.attempts[name] for name in self.names_by_entry.get("", ()))

    def local_changes(self):
        """Return this entry's attempts that changed lately, and the names of those that ended."""
        names = self.changes.pending()
        attempts = tuple(self.attempts[name] for name in names if name in self.attempts)
        return attempts, tuple(name for name in names if name not in self.attempts)

    def merge_remote(self, entry, attempts, now):
        """Replace the attempts of another entry by the list that it sent."""
        named = {attempt.name for attempt in attempts}
        ended = self.names_by_entry.get(entry, set()) - named
        self.merge_remote_changes(entry, attempts, ended, now)

    def merge_remote_changes(self, entry, attempts, ended, now):
        """Apply what changed at another entry; `ended` names the attempts that ended."""
        self.last_beacon_at[entry] = now
        for name in ended:
            self.end(name, entry)
        for attempt in attempts:
            if attempt.name not in self.attempts:
                self.begin(attempt, now, entry)
                self.unseen.record_attempt(attempt, now)
            elif attempt.started:
                self.record_first_event(attempt.name)

    def expire(self, now):
        """Drop the attempts of entries whose beacons have stopped."""
        for entry, beacon_at in list(self.last_beacon_at.items()):
            if now - beacon_at > ENTRY_TIMEOUT_SECONDS:
                self.merge_remote(entry, (), now)
                del self.last_beacon_at[entry]

    def forget(self, names):
        """Drop the loads of all endpoints except those in `names`."""
        for name in set(self.loads) - set(names):
            del self.loads[name]
        self.slowdowns.forget(names)


def add_to_load(load, attempt, demand, now):
    """Add a demand of an attempt to the load of its endpoint."""
    load.begin(attempt.name, demand, now)
    if attempt.started:
        load.prefill_done(attempt.name)
