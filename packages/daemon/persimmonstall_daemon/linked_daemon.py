"""Base of entry and endpoint daemons: links to other daemons, and control messages."""

import uuid

from persimmonstall.invariants import Invariants

from .observe import logs

LOG = logs.get("daemon")


class LinkedDaemon:
    """A daemon with links to other daemons; `run_id` differs after each restart.

    `network` opens or accepts links, `context` provides clock and random source, `metrics`
    counts events, `follower` holds the catalogue; with `strict` a violated invariant raises.
    `control_handlers` maps types of messages that concern no attempt to their handlers.
    """

    def __init__(self, settings, network, context, metrics, follower, strict=False):
        self.settings = settings
        self.network = network
        self.context = context
        self.metrics = metrics
        self.follower = follower
        self.invariants = Invariants(strict, self.on_violation)
        self.run_id = uuid.UUID(int=context.random.getrandbits(128)).hex
        self.control_handlers = {}
        self.tasks = []

    @property
    def catalogue_version(self):
        """The version of the catalogue that this daemon uses."""
        return self.follower.version

    def on_violation(self, name, detail):
        """Count and log a violated invariant."""
        self.metrics.violation(name, detail)
        LOG.error("invariant violated", invariant=name, detail=detail)

    def note_peer_version(self, version, peer):
        """Record the catalogue version that a peer has."""
        self.follower.note_version(version, peer.name)

    def dispatch_control(self, message, peer):
        """Pass a message that concerns no attempt to its handler in `control_handlers`, if any."""
        handler = self.control_handlers.get(type(message))
        if handler:
            handler(message, peer)
