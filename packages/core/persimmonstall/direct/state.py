"""State of an entry: configuration, fleet, loads, retry budget, failures and crashes."""

import attrs

from .crashers import Crashers
from .fleet import Fleet
from .loads import LoadBook
from .messages import Configuration
from .news import ConfigurationNews, EndpointNews, ReachNews
from .placing import Placer
from .routing import RouteTable
from .sharing import SharedBudget
from .troubles import Troubles

OUTAGE_SECONDS = 1.0
"""Time without an answer of the directory to this entry or its peers that counts as an outage."""


@attrs.define
class State:
    """All state that the decisions of direct mode use; only one event loop may access it.

    `listed` says whether the endpoints are known.  `away_since` is when the directory stopped
    answering this entry, None while it answers; `reached` is when the directory last answered
    this entry or, by their beacons, one of its peers.
    """

    budget: SharedBudget
    data_centre: str = ""
    configuration: Configuration | None = None
    routes: RouteTable | None = None
    fleet: Fleet = attrs.field(factory=Fleet)
    book: LoadBook = attrs.field(factory=LoadBook)
    troubles: Troubles = attrs.field(factory=Troubles)
    crashers: Crashers = attrs.field(factory=Crashers)
    listed: bool = False
    away_since: float | None = None
    reached: float = 0.0
    placer: Placer = None

    def __attrs_post_init__(self):
        self.placer = Placer(self.fleet, self.book, self.troubles, data_centre=self.data_centre)

    @property
    def ready(self):
        """Whether calls can be served: configuration and endpoints are known."""
        return self.routes is not None and self.listed

    def take(self, news, now):
        """Apply an update; return whether configuration or endpoints were updated."""
        if isinstance(news, ConfigurationNews):
            return self.take_configuration(news.configuration)
        if isinstance(news, EndpointNews):
            return self.take_endpoints(news, now)
        if isinstance(news, ReachNews):
            self.take_reach(news, now)
        return False

    def take_configuration(self, configuration):
        """Apply a newer configuration; an older one is ignored."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        return True

    def take_endpoints(self, news, now):
        """Apply changes of endpoints; lifetimes that end confirm crashes."""
        if news.revision < self.fleet.version:
            return False
        before = {endpoint.key for endpoint in self.fleet.endpoints.values()}
        if news.whole:
            listed = {c.name: c.endpoint for c in news.changes if c.endpoint is not None}
            self.fleet.replace(listed, news.revision, now)
        else:
            changes = [(change.name, change.endpoint) for change in news.changes]
            self.fleet.change(changes, news.revision, now)
        self.listed = True
        self.note_ended(before, now)
        return True

    def note_ended(self, before, now):
        """Clean up after lifetimes that are in `before` but have ended since."""
        after = {endpoint.key for endpoint in self.fleet.endpoints.values()}
        for lifetime in before - after:
            self.crashers.ended(lifetime, now)
        if before != after:
            self.book.forget(self.fleet.endpoints)
            self.troubles.forget(self.fleet.endpoints)

    def take_reach(self, news, now):
        """Record whether the directory answers; an outage that ends starts the grace period."""
        if not news.reached:
            if self.away_since is None:
                self.away_since = now
            return
        if self.away_since is not None:
            if now - max(self.away_since, self.reached) > OUTAGE_SECONDS:
                self.fleet.returned(now)
            self.away_since = None
        self.reached = max(self.reached, now)

    def peer_reached(self, at):
        """Record that the directory answered a peer at the time `at`."""
        self.reached = max(self.reached, at)

    def tick(self, now):
        """Drop endpoints, attempts and lost connections that have expired."""
        before = {endpoint.key for endpoint in self.fleet.endpoints.values()}
        if self.fleet.expire(now):
            self.note_ended(before, now)
        self.book.expire(now)
        self.crashers.expire(now)
