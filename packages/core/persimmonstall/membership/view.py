"""One daemon's view of the other instances.

It combines the platform's list, which lags, with messages from the instances and operators' drain
marks.  An endpoint is leaving as soon as any source says so.  Sources are kept apart, so that a
stale list that still says "live" does not override a message from the endpoint's own daemon.
Membership follows the list alone, so that daemons with the same list agree; reachability follows
the messages.
"""

import enum

import attrs

from ..outside.instances import Instance, InstanceState

ABSENCE_SECONDS = 10.0
"""Time after which an instance that is missing from the list counts as leaving.  A missing
instance that has been silent for as long is removed."""


class Source(enum.StrEnum):
    """Where the information that an endpoint is leaving came from."""

    OWN = "own"
    LIST = "list"
    OPERATOR = "operator"


@attrs.define
class Peer:
    """Another instance; times are in seconds of the local clock.

    `run` identifies its process, `last_contact` is the time of its last message.  `absent_since`
    is the time since which it has been missing from the list; `expired` means that it has been
    missing for too long.  `reported_leaving` are the endpoints that it has reported as leaving.
    """

    instance: Instance
    run: str = ""
    last_contact: float | None = None
    absent_since: float | None = None
    expired: bool = False
    reported_leaving: frozenset = frozenset()
    endpoints: frozenset = frozenset()

    @property
    def listed_leaving(self):
        """Whether the list marks the instance as leaving or no longer contains it."""
        return self.expired or self.instance.state is InstanceState.LEAVING


class MembershipView:
    """Instances known to this daemon and endpoints that are leaving.

    `on_endpoint_leaving(endpoint, source)` is called once when an endpoint becomes known as
    leaving.
    """

    def __init__(self, invariants, on_endpoint_leaving=None):
        self.invariants = invariants
        self.on_endpoint_leaving = on_endpoint_leaving
        self.peers = {}
        self.drain_marks = frozenset()
        self.leaving = frozenset()

    def on_list(self, instances, now):
        """Apply the list, a tuple of `Instance`s; return whether the known instances changed."""
        before = self.known_members()
        listed = {instance.name for instance in instances}
        for instance in instances:
            self.mark_listed(instance)
        for name in set(self.peers) - listed:
            self.mark_absent(name, now)
        self.update_leaving()
        return self.known_members() != before

    def mark_listed(self, instance):
        """Record that the list contains an instance.

        A new address means that the instance was replaced, so its reports of leaving are dropped.
        """
        peer = self.peers.get(instance.name)
        if peer is None:
            peer = self.peers[instance.name] = Peer(instance)
        if peer.instance.address != instance.address:
            peer.reported_leaving = frozenset()
        peer.instance = instance
        peer.absent_since = None
        peer.expired = False
        peer.endpoints |= frozenset(instance.endpoints)

    def mark_absent(self, name, now):
        """Record that the list does not contain an instance.

        An instance that is still heard from keeps its link, so that its streams can finish, but
        gets no new work after `ABSENCE_SECONDS`.
        """
        peer = self.peers[name]
        if peer.absent_since is None:
            peer.absent_since = now
        silent = peer.last_contact is None or now - peer.last_contact >= ABSENCE_SECONDS
        if silent:
            del self.peers[name]
        else:
            peer.expired = now - peer.absent_since >= ABSENCE_SECONDS

    def known_members(self):
        """Return the names and instances known now; compare two results to detect a change."""
        return {(name, peer.instance) for name, peer in self.peers.items()}

    def on_contact(self, name, now, run="", endpoints=()):
        """Record a message from an instance; a new `run` clears its reports of leaving."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.last_contact = now
        before = peer.reported_leaving, peer.endpoints
        if run and run != peer.run:
            peer.run = run
            peer.reported_leaving = frozenset()
        if endpoints:
            peer.endpoints = frozenset(endpoints)
        if before != (peer.reported_leaving, peer.endpoints):
            self.update_leaving()

    def on_leaving(self, name, endpoints):
        """Record an instance's report that these endpoints are leaving."""
        peer = self.peers.get(name)
        if peer is not None and not peer.reported_leaving.issuperset(endpoints):
            peer.reported_leaving |= frozenset(endpoints)
            self.update_leaving()

    def on_not_leaving(self, name, endpoints):
        """Record an instance's report that these endpoints are not leaving."""
        peer = self.peers.get(name)
        if peer is not None and not peer.reported_leaving.isdisjoint(endpoints):
            peer.reported_leaving -= frozenset(endpoints)
            self.update_leaving()

    def on_drains(self, names):
        """Record the names of the endpoints and instances that operators are draining."""
        if self.drain_marks != frozenset(names):
            self.drain_marks = frozenset(names)
            self.update_leaving()

    def leaving_sources(self):
        """Yield an (endpoint, `Source`) pair for each report of a leaving endpoint."""
        for name, peer in self.peers.items():
            for endpoint in peer.reported_leaving:
                yield endpoint, Source.OWN
            if peer.listed_leaving:
                for endpoint in peer.endpoints:
                    yield endpoint, Source.LIST
            if name in self.drain_marks:
                for endpoint in peer.endpoints:
                    yield endpoint, Source.OPERATOR
        for endpoint in self.drain_marks:
            yield endpoint, Source.OPERATOR

    def update_leaving(self):
        """Update the leaving endpoints and report the new ones."""
        leaving_sources = dict(self.leaving_sources())
        newly_leaving = set(leaving_sources) - self.leaving
        self.leaving = frozenset(leaving_sources)
        if self.on_endpoint_leaving:
            for endpoint in sorted(newly_leaving):
                self.on_endpoint_leaving(endpoint, leaving_sources[endpoint])

    def members(self, role):
        """Return the `Instance`s of a role that the list shows as live, sorted by name."""
        return tuple(
            peer.instance
            for _, peer in sorted(self.peers.items())
            if peer.instance.role == role and not peer.listed_leaving
        )

    def known_instances(self, role):
        """Return all `Instance`s of a role; leaving ones are included while they finish work."""
        return tuple(
            peer.instance for _, peer in sorted(self.peers.items()) if peer.instance.role == role
        )
