"""What one daemon knows of the others: from the lagging list, in-band messages and operators.

An endpoint is leaving as soon as any source says so.  Each source is kept apart: a stale list
that still says "live" does not undo the daemon's own word.  Who is a member is decided by the
list alone, so that daemons with the same list agree; who answers is decided in band.
"""

import enum

import attrs

from ..outside.instances import Instance, InstanceState

ABSENCE_SECONDS = 10.0
"""Time after which an instance that the list no longer names counts as leaving; one that is
silent for as long is forgotten."""


class Source(enum.StrEnum):
    """Who said that an endpoint is leaving."""

    OWN = "own"
    LIST = "list"
    OPERATOR = "operator"


@attrs.define
class Peer:
    """One other instance; times are in the local clock's seconds.

    `run` identifies its process.  `own_leaving` are endpoints that it said it is leaving with.
    """

    instance: Instance
    run: str = ""
    heard: float | None = None
    absent_since: float | None = None
    expired: bool = False
    own_leaving: frozenset = frozenset()
    endpoints: frozenset = frozenset()

    @property
    def listed_leaving(self):
        """Whether the list says that the instance is leaving, or has dropped it."""
        return self.expired or self.instance.state is InstanceState.LEAVING


class MembershipView:
    """The instances known to this daemon and the endpoints that are leaving.

    `on_learned(endpoint, source)` is called once for each endpoint newly known to be leaving.
    """

    def __init__(self, invariants, on_learned=None):
        self.invariants = invariants
        self.on_learned = on_learned
        self.peers = {}
        self.drained = frozenset()
        self.leaving = frozenset()

    def on_list(self, instances, now):
        """Take in a read of the list, a tuple of `Instance`; return whether members changed."""
        before = self.signature()
        named = {instance.name for instance in instances}
        for instance in instances:
            self.see(instance)
        for name in set(self.peers) - named:
            self.miss(name, now)
        self.update_leaving()
        return self.signature() != before

    def see(self, instance):
        """Note that the list names an instance."""
        peer = self.peers.get(instance.name)
        if peer is None:
            peer = self.peers[instance.name] = Peer(instance)
        if peer.instance.address != instance.address:
            peer.own_leaving = frozenset()
        peer.instance = instance
        peer.absent_since = None
        peer.expired = False
        peer.endpoints |= frozenset(instance.endpoints)

    def miss(self, name, now):
        """Note that the list does not name an instance.

        One that still answers keeps its link, so that its streams can end, but gets no new
        work after a while.
        """
        peer = self.peers[name]
        if peer.absent_since is None:
            peer.absent_since = now
        quiet = peer.heard is None or now - peer.heard >= ABSENCE_SECONDS
        if quiet:
            del self.peers[name]
        else:
            peer.expired = now - peer.absent_since >= ABSENCE_SECONDS

    def signature(self):
        """Return what a change of membership is judged by."""
        return {(name, peer.instance) for name, peer in self.peers.items()}

    def on_contact(self, name, now, run="", endpoints=()):
        """Note a sign of life; a new process of the instance takes back its own leaving."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.heard = now
        before = peer.own_leaving, peer.endpoints
        if run and run != peer.run:
            peer.run = run
            peer.own_leaving = frozenset()
        if endpoints:
            peer.endpoints = frozenset(endpoints)
        if before != (peer.own_leaving, peer.endpoints):
            self.update_leaving()

    def on_leaving(self, name, endpoints):
        """Take an instance's own word that these endpoints are leaving."""
        peer = self.peers.get(name)
        if peer is not None and not peer.own_leaving.issuperset(endpoints):
            peer.own_leaving |= frozenset(endpoints)
            self.update_leaving()

    def on_not_leaving(self, name, endpoints):
        """Take an instance's own word that these endpoints take work again."""
        peer = self.peers.get(name)
        if peer is not None and not peer.own_leaving.isdisjoint(endpoints):
            peer.own_leaving -= frozenset(endpoints)
            self.update_leaving()

    def on_drains(self, names):
        """Take the endpoints or instances that operators have ordered to drain."""
        if self.drained != frozenset(names):
            self.drained = frozenset(names)
            self.update_leaving()

    def sources(self):
        """Return the (endpoint, `Source`) pairs of all that is leaving."""
        for name, peer in self.peers.items():
            for endpoint in peer.own_leaving:
                yield endpoint, Source.OWN
            if peer.listed_leaving:
                for endpoint in peer.endpoints:
                    yield endpoint, Source.LIST
            if name in self.drained:
                for endpoint in peer.endpoints:
                    yield endpoint, Source.OPERATOR
        for endpoint in self.drained:
            yield endpoint, Source.OPERATOR

    def update_leaving(self):
        """Work out what is leaving and report what is new."""
        sources = dict(self.sources())
        fresh = set(sources) - self.leaving
        self.leaving = frozenset(sources)
        if self.on_learned:
            for endpoint in sorted(fresh):
                self.on_learned(endpoint, sources[endpoint])

    def members(self, role):
        """Return the `Instance`s of a role that the list calls live, by name."""
        return tuple(
            peer.instance
            for _, peer in sorted(self.peers.items())
            if peer.instance.role == role and not peer.listed_leaving
        )

    def known_instances(self, role):
        """Return the `Instance`s of a role, leaving ones too, since they finish their work."""
        return tuple(
            peer.instance for _, peer in sorted(self.peers.items()) if peer.instance.role == role
        )
