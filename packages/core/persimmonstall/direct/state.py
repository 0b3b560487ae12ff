"""What an entry believes: configuration, fleet, loads, budgets and contents that crash."""

import attrs

from .crash_tracker import CrashTracker
from .failure_scores import FailureScores
from .fleet import Fleet
from .loads import LoadTracker
from .messages import Configuration
from .placing import Placer
from .retry_budget import SharedRetryBudget
from .routing import RouteTable
from .updates import ConfigurationUpdate, EndpointUpdate, ReachabilityUpdate

OUTAGE_SECONDS = 1.0
"""Time without the directory, for this entry and its peers, that counts as an outage."""


@attrs.define
class State:
    """Everything that decisions of the direct way use; touched by one event loop only.

    `away_since` is when the directory stopped answering this entry, None while it answers;
    `directory_seen_at` when this entry or a peer that told it last had the directory's word.
    """

    budget: SharedRetryBudget
    data_centre: str = ""
    configuration: Configuration | None = None
    routes: RouteTable | None = None
    fleet: Fleet = attrs.field(factory=Fleet)
    load_tracker: LoadTracker = attrs.field(factory=LoadTracker)
    failure_scores: FailureScores = attrs.field(factory=FailureScores)
    crash_tracker: CrashTracker = attrs.field(factory=CrashTracker)
    endpoints_known: bool = False
    away_since: float | None = None
    directory_seen_at: float = 0.0
    placer: Placer = None

    def __attrs_post_init__(self):
        self.placer = Placer(
            self.fleet, self.load_tracker, self.failure_scores, data_centre=self.data_centre
        )

    @property
    def ready(self):
        """Whether calls can be served: both configuration and endpoints are known."""
        return self.routes is not None and self.endpoints_known

    def apply_update(self, update, now):
        """Take a piece of news; return whether it changed what this entry believes."""
        if isinstance(update, ConfigurationUpdate):
            return self.take_configuration(update.configuration)
        if isinstance(update, EndpointUpdate):
            return self.take_endpoints(update, now)
        if isinstance(update, ReachabilityUpdate):
            self.take_reach(update, now)
        return False

    def take_configuration(self, configuration):
        """Put a newer configuration in force; an older one is ignored."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        return True

    def take_endpoints(self, update, now):
        """Take changes of the fleet; lifetimes that end confirm crashes."""
        if update.revision < self.fleet.version:
            return False
        before = {endpoint.lifetime for endpoint in self.fleet.endpoints.values()}
        if update.whole:
            listed = {c.name: c.endpoint for c in update.changes if c.endpoint is not None}
            self.fleet.replace(listed, update.revision, now)
        else:
            changes = [(change.name, change.endpoint) for change in update.changes]
            self.fleet.change(changes, update.revision, now)
        self.endpoints_known = True
        self.note_ended(before, now)
        return True

    def note_ended(self, before, now):
        """Follow the end of lifetimes that were known before."""
        after = {endpoint.lifetime for endpoint in self.fleet.endpoints.values()}
        for lifetime in before - after:
            self.crash_tracker.confirm_crash(lifetime, now)
        if before != after:
            self.load_tracker.forget(self.fleet.endpoints)
            self.failure_scores.forget(self.fleet.endpoints)

    def take_reach(self, update, now):
        """Follow whether the directory answers; after an outage missing entries may return."""
        if not update.reachable:
            if self.away_since is None:
                self.away_since = now
            return
        if self.away_since is not None:
            if now - max(self.away_since, self.directory_seen_at) > OUTAGE_SECONDS:
                self.fleet.returned(now)
            self.away_since = None
        self.directory_seen_at = max(self.directory_seen_at, now)

    def peer_saw_directory(self, at):
        """Note that a peer had the directory's word at `at`."""
        self.directory_seen_at = max(self.directory_seen_at, at)

    def tick(self, now):
        """Let time pass: what is missing, silent or too old is dropped."""
        before = {endpoint.lifetime for endpoint in self.fleet.endpoints.values()}
        if self.fleet.expire(now):
            self.note_ended(before, now)
        self.load_tracker.expire(now)
        self.crash_tracker.expire(now)
