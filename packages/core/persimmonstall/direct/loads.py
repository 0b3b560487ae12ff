"""Attempts in flight at each endpoint, of this entry and of all others."""

import attrs

from .engine_model import EngineModel
from .paces import Paces

SILENT_OWNER = 3.0
"""Seconds without a beacon of an entry after which its attempts are dropped."""


@attrs.frozen
class Piece:
    """Work of one attempt at one endpoint.

    `read` is the prefill time in seconds; `context` and `memory` are in tokens.  `writes` is
    false if the endpoint only prefills a part of a prompt.  The caller accepts gaps of up to
    `gap` seconds between events and wants the first event within `patience` seconds; `worth` is
    the worth of the call, 1 for a typical short one.
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
class Flight:
    """One attempt in flight; `name` is unique across all entries.

    `started` says whether its first event has been seen.
    """

    name: str
    pieces: tuple[Piece, ...]
    started: bool = False


@attrs.define
class PlainLoad:
    """Calls in flight at an endpoint of a plain service, which has no model engine."""

    pace: float = 1.0
    flights: set = attrs.field(factory=set)

    def begin(self, flight, _piece, _now):
        """Add a call."""
        self.flights.add(flight)

    def end(self, flight):
        """Remove a call."""
        self.flights.discard(flight)

    def began_writing(self, flight):
        """Do nothing: the start of the answer does not change the load."""

    def advance(self, now):
        """Do nothing: the load does not change with time."""

    def usual_pause(self):
        """Return None: a plain service has no streams whose gaps could be predicted."""

    def running(self):
        """Return the number of calls in flight."""
        return len(self.flights)


@attrs.define
class LoadBook:
    """Attempts of all entries, and the predicted load of each endpoint that they use.

    `owned` holds the attempt names of each entry, `heard` the time of its last beacon; the entry
    itself has the empty address.
    """

    loads: dict = attrs.field(factory=dict)
    flights: dict = attrs.field(factory=dict)
    owned: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    paces: Paces = attrs.field(factory=Paces)

    def of(self, endpoint, service, now):
        """Return the load of an `Endpoint` of `service`, advanced to `now`."""
        load = self.loads.get(endpoint.name)
        figures = service.engine
        if load is None or getattr(load, "figures", None) != figures:
            load = self.make(endpoint, figures, now)
        load.pace = self.paces.of(endpoint.name, now)
        load.advance(now)
        return load

    def make(self, endpoint, figures, now):
        """Create the load of an endpoint from the known attempts."""
        load = PlainLoad() if figures is None else EngineModel(figures, busy_until=now)
        self.loads[endpoint.name] = load
        for flight in self.flights.values():
            for piece in flight.pieces:
                if piece.endpoint == endpoint.name:
                    join(load, flight, piece, now)
        return load

    def used_by(self, flight):
        """Return the (load, piece) pairs of an attempt, without endpoints that have no load."""
        pairs = ((self.loads.get(piece.endpoint), piece) for piece in flight.pieces)
        return [(load, piece) for load, piece in pairs if load is not None]

    def begin(self, flight, now, owner=""):
        """Add an attempt; `owner` is the address of its entry, empty for this one."""
        self.flights[flight.name] = flight
        self.owned.setdefault(owner, set()).add(flight.name)
        for load, piece in self.used_by(flight):
            join(load, flight, piece, now)

    def started(self, name):
        """Record that the first event of an attempt was seen."""
        flight = self.flights.get(name)
        if flight is None or flight.started:
            return
        self.flights[name] = attrs.evolve(flight, started=True)
        for load, _ in self.used_by(flight):
            load.began_writing(name)

    def paused(self, endpoint_name, seconds, events, now):
        """Record that `events` events of a stream arrived `seconds` after the one before them.

        Several arrive together if this entry was late to read them.  Return whether the endpoint
        has just become slow or normal again.
        """
        load = self.loads.get(endpoint_name)
        usual = load.usual_pause() if load is not None else None
        if usual is None:
            return False
        return self.paces.observe(endpoint_name, seconds / (events * usual), now)

    def end(self, name, owner=""):
        """Remove an attempt."""
        flight = self.flights.pop(name, None)
        self.owned.get(owner, set()).discard(name)
        if flight is None:
            return
        for load, _ in self.used_by(flight):
            load.end(name)

    def own(self):
        """Return this entry's attempts, to be sent to other entries."""
        return tuple(self.flights[name] for name in self.owned.get("", ()))

    def learn(self, owner, flights, now):
        """Replace the attempts of another entry by the list that it sent."""
        self.heard[owner] = now
        named = {flight.name for flight in flights}
        for name in self.owned.get(owner, set()) - named:
            self.end(name, owner)
        for flight in flights:
            if flight.name not in self.flights:
                self.begin(flight, now, owner)
            elif flight.started:
                self.started(flight.name)

    def expire(self, now):
        """Drop the attempts of entries whose beacons have stopped."""
        for owner, heard in list(self.heard.items()):
            if now - heard > SILENT_OWNER:
                self.learn(owner, (), now)
                del self.heard[owner]

    def forget(self, names):
        """Drop the loads of all endpoints except those in `names`."""
        for name in set(self.loads) - set(names):
            del self.loads[name]
        self.paces.forget(names)


def join(load, flight, piece, now):
    """Add a piece of an attempt to the load of its endpoint."""
    load.begin(flight.name, piece, now)
    if flight.started:
        load.began_writing(flight.name)
