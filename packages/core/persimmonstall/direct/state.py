"""State of an entry: configuration, fleet, loads, retry budget, failures and crashes."""

import math
import random

import attrs

from .cold import ColdEndpoints
from .crash_tracker import CrashTracker
from .distance import Distances
from .eligibility import Eligibility
from .evacuations import Evacuations
from .failure_scores import FailureScores
from .findings import Findings
from .fleet import Fleet
from .loads import LoadTracker
from .messages import Configuration
from .notices import EndpointNotices, Notice
from .observations import Observations
from .placing import Placer
from .request_limits import RequestLimits
from .retry_budget import SharedRetryBudget
from .routing import RouteTable
from .updates import (
    ConfigurationUpdate,
    EndpointUpdate,
    EvacuationUpdate,
    ReachabilityUpdate,
)

OUTAGE_SECONDS = 1.0
"""Time without an answer of the directory to this entry or its peers that counts as an outage."""

BEACON_DELAY_SECONDS = 0.1
"""Longest time that a beacon travels; the age that it names does not include it."""

TOLD_OUTAGE_SECONDS = 2.0
"""The same time for an entry that leaves reading to others, and hears of answers later."""


@attrs.define
class State:
    """All state that the decisions of direct mode use; only one event loop may access it.

    `unreachable_since` is when the directory stopped answering this entry, None while it answers;
    `directory_seen_at` is when the directory last answered this entry or, by their beacons, one of
    its peers: the table whose answer is older counts.  `tables_seen_at` holds the times of this
    entry's own answers by table.  `random` makes the choices that are random.
    """

    budget: SharedRetryBudget
    data_centre: str = ""
    configuration: Configuration | None = None
    routes: RouteTable | None = None
    fleet: Fleet = attrs.field(factory=Fleet)
    load_tracker: LoadTracker = attrs.field(factory=LoadTracker)
    failure_scores: FailureScores = attrs.field(factory=FailureScores)
    crash_tracker: CrashTracker = attrs.field(factory=CrashTracker)
    request_limits: RequestLimits = attrs.field(factory=RequestLimits)
    notices: EndpointNotices = attrs.field(factory=EndpointNotices)
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    cold: ColdEndpoints = attrs.field(factory=ColdEndpoints)
    endpoints_known: bool = False
    unreachable_since: float | None = None
    directory_seen_at: float = 0.0
    tables_seen_at: dict = attrs.field(factory=dict)
    random: object = attrs.field(factory=lambda: random.Random(0))
    placer: Placer = None
    observations: Observations = None

    def __attrs_post_init__(self):
        self.observations = Observations(
            self.failure_scores, self.load_tracker.slowdowns, self.data_centre
        )
        self.placer = Placer(
            self.fleet,
            self.load_tracker,
            self.failure_scores,
            self.request_limits,
            self.notices,
            data_centre=self.data_centre,
            random=self.random,
            eligibility=Eligibility(self.fleet, self.notices, self.evacuations),
            cold=self.cold,
        )

    @property
    def ready(self):
        """Whether calls can be served: configuration and endpoints are known."""
        return self.routes is not None and self.endpoints_known

    def findings_changes(self, address, now):
        """Return the `Findings` that changed lately, as those of the entry at `address`."""
        tracker, parts = self.crash_tracker, self.crash_tracker.parts
        return Findings(
            address,
            self.request_limits.local_changes(now),
            *parts.local_changes(now),
            tracker.excused_changes(),
            self.notices.local_changes(),
        )

    def findings(self, address, now):
        """Return all `Findings`, as those of the entry at `address`."""
        tracker, parts = self.crash_tracker, self.crash_tracker.parts
        return Findings(
            address,
            self.request_limits.local_state(now),
            *parts.local_state(now),
            tracker.excused_state(),
            self.notices.local_state(),
        )

    def mark_changes_sent(self):
        """Record that the latest changes of attempts and findings were sent."""
        self.load_tracker.changes.mark_sent()
        self.request_limits.changes.mark_sent()
        self.notices.changes.mark_sent()
        self.crash_tracker.mark_sent()

    def versions(self):
        """Return the versions of the configuration and of the endpoints, 0 for none."""
        version = self.configuration.version if self.configuration else 0
        return version, self.fleet.revision if self.endpoints_known else 0

    def lacks(self, version, revision, digest):
        """Return whether a peer with these versions, and this digest of endpoints, knows more.

        The revision alone does not show it: an entry that has just read the list has a later
        revision than those that wait for the list to change.
        """
        own_version, own_revision = self.versions()
        if version > own_version:
            return True
        return revision > own_revision and (own_revision == 0 or digest != self.fleet.digest)

    def apply_update(self, update, now):
        """Apply an update; return whether configuration, endpoints or evacuations changed."""
        if isinstance(update, ConfigurationUpdate):
            return self.apply_configuration(update.configuration, now)
        if isinstance(update, EndpointUpdate):
            return self.apply_endpoints(update, now)
        if isinstance(update, EvacuationUpdate):
            return self.apply_evacuations(update, now)
        if isinstance(update, ReachabilityUpdate):
            self.apply_reachability(update, now)
        return False

    def apply_configuration(self, configuration, now):
        """Apply a newer configuration; an older one is ignored."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        routes = RouteTable(configuration)
        self.configuration, self.routes = configuration, routes
        self.cold.configure(configuration, self.fleet.endpoints.values(), now)
        self.use_distances(Distances.of(configuration.delays))
        return True

    def use_distances(self, distances):
        """Use other distances between data centres."""
        self.placer.use_distances(distances)
        self.observations.activate(distances)

    def set_cold_bounds(self, overage, slack, now):
        """Apply changed settings of the bounds for cold endpoints."""
        self.cold.overage, self.cold.slack = overage, slack
        if self.configuration is not None:
            self.cold.configure(self.configuration, self.fleet.endpoints.values(), now)

    def apply_evacuations(self, update, now):
        """Apply what operators evacuate; what they take back may have turned cold meanwhile."""
        before = set(self.evacuations.since)
        changed = self.evacuations.merge(update, now)
        self.presume_cold(before - set(self.evacuations.since), now)
        return changed

    def expire_evacuations(self, now):
        """End evacuations that have expired; return whether there are any."""
        before = set(self.evacuations.since)
        changed = self.evacuations.expire(now)
        self.presume_cold(before - set(self.evacuations.since), now)
        return changed

    def presume_cold(self, data_centres, now):
        """Take the endpoints of data centres for cold; they may say so only later."""
        for endpoint in self.fleet.endpoints.values():
            if endpoint.data_centre in data_centres:
                self.cold.presume(endpoint, now)

    def apply_endpoints(self, update, now):
        """Apply changes of endpoints; the end of a lifetime can confirm a crash."""
        if update.revision < self.fleet.revision:
            return False
        before, watched = self.fleet.lifetimes(), self.endpoints_known
        if update.restored:
            self.fleet.start_restore(now)
        self.fleet.apply(update, now)
        self.endpoints_known = True
        self.record_cold_rows(update, before if watched else None, now)
        self.record_outdated_rows(update, now)
        self.handle_ended_lifetimes(before, now)
        return True

    def record_cold_rows(self, update, before, now):
        """Record which endpoints are cold; `before` are the lifetimes that were known, or None."""
        for change in update.changes:
            endpoint = change.endpoint
            if endpoint is not None:
                started = before is not None and endpoint.lifetime not in before
                self.cold.observe_row(endpoint, started, now)

    def record_outdated_rows(self, update, now):
        """Record the endpoints that leave though their rows say otherwise again.

        Their rows are those of an old copy; entries that start later know nothing else of them.
        """
        for change in update.changes:
            known = self.fleet.endpoints.get(change.name)
            if change.endpoint is not None and known.leaving and not change.endpoint.leaving:
                self.notices.record(known.lifetime, Notice(leaving=True), now)

    def handle_ended_lifetimes(self, before, now):
        """Clean up after lifetimes that are in `before` but have ended since."""
        after = self.fleet.lifetimes()
        for lifetime in before - after:
            self.crash_tracker.forget_abandoned_calls(lifetime)
            self.crash_tracker.confirm_crash(lifetime, now)
        if before != after:
            self.load_tracker.forget(self.fleet.endpoints)
            self.failure_scores.forget(self.fleet.endpoints)

    def drop_endpoint(self, name, now):
        """Drop an endpoint whose address another lifetime has: its own has ended."""
        before = self.fleet.lifetimes()
        self.fleet.drop(name, now)
        self.handle_ended_lifetimes(before, now)

    def is_leaving(self, endpoint):
        """Return whether an endpoint has said that it will end."""
        known = self.fleet.endpoints.get(endpoint.name)
        listed = known is not None and known.lifetime == endpoint.lifetime and known.leaving
        return listed or endpoint.lifetime in self.notices.leaving

    def accepts(self, endpoint, now):
        """Return whether a call that was placed at an endpoint may still be sent to it."""
        return self.placer.eligibility.accepts(endpoint, now)

    def apply_reachability(self, update, now):
        """Record whether the directory answers; an outage that ends starts the grace period."""
        if not update.reachable:
            self.tables_seen_at.setdefault(update.table, -math.inf)
            if self.unreachable_since is None:
                self.unreachable_since = now
            return
        self.end_outage(now)
        self.tables_seen_at[update.table] = now
        self.directory_seen_at = max(self.directory_seen_at, min(self.tables_seen_at.values()))

    def end_outage(self, now):
        """Start the grace period if the directory has not answered anybody for a while."""
        if self.unreachable_since is None:
            return
        if now - max(self.unreachable_since, self.directory_seen_at) > OUTAGE_SECONDS:
            self.fleet.start_grace(now)
        self.unreachable_since = None

    def forget_peer(self, address):
        """Drop what the entry at `address` reported of itself, since it is gone."""
        self.budget.forget(address)

    def peer_saw_directory(self, at, now, relies_on_peers=False):
        """Record that the directory answered a peer at the time `at`.

        An entry that relies on its peers may not find out by itself that it answers again.
        """
        if relies_on_peers:
            if self.unreachable_since is not None:
                if at > self.unreachable_since + BEACON_DELAY_SECONDS:
                    self.end_outage(now)
            elif self.endpoints_known and at - self.directory_seen_at > TOLD_OUTAGE_SECONDS:
                self.fleet.start_grace(now)
        self.directory_seen_at = max(self.directory_seen_at, at)

    def tick(self, now):
        """Drop endpoints, attempts and lost connections that have expired."""
        before = self.fleet.lifetimes()
        if self.fleet.expire(now):
            self.handle_ended_lifetimes(before, now)
        self.load_tracker.expire(now)
        self.crash_tracker.expire(now)
        self.notices.expire(now)
        self.request_limits.expire(self.fleet.lifetimes(), now)
        self.cold.expire(self.fleet.lifetimes())
