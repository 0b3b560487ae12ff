"""What entry and endpoint daemons share: their place among the others, and control messages."""

import uuid

from persimmonstall.invariants import Invariants

from .observe import logs

LOG = logs.get("daemon")


class LinkedDaemon:
    """A daemon with links to others; `run_id` tells its lifetimes apart.

    `network` opens links or the port, `context` gives clock and random source, `metrics` counts,
    `follower` holds the catalogue; `strict` raises on a violated invariant.  `control_handlers` maps
    types of messages that concern no attempt to their handlers.
    """

    def __init__(self, settings, network, context, metrics, follower, strict=False):
        self.settings = settings
        self.network = network
        self.context = context
        self.metrics = metrics
        self.follower = follower
        self.invariants = Invariants(strict, self.violated)
        self.run_id = uuid.UUID(int=context.random.getrandbits(128)).hex
        self.control_handlers = {}
        self.tasks = []

    @property
    def version(self):
        """The version of the catalogue in force here."""
        return self.follower.version

    def violated(self, name, detail):
        """Count and log a violated invariant."""
        self.metrics.violation(name, detail)
        LOG.error("invariant violated", invariant=name, detail=detail)

    def note_peer_version(self, version, peer):
        """Note the catalogue version that a peer has."""
        self.follower.note_version(version, peer.name)

    def dispatch_control(self, message, peer):
        """Hand a message that concerns no attempt to its handler in `control_handlers`."""
        handler = self.control_handlers.get(type(message))
        if handler:
            handler(message, peer)
