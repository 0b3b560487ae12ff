"""Decides when an endpoint takes no new work: as soon as any source says that it is leaving."""

from persimmonstall.messages import control


class LeavingTracker:
    """Keeps the leaving state of an endpoint daemon's endpoints up to date.

    The sources are the platform's list, the operators' drain marks in the catalogue (`drained`
    has names of endpoints and instances) and the daemon's own shutdown.
    """

    def __init__(self, daemon, membership):
        self.daemon = daemon
        self.membership = membership
        self.drained = frozenset()

    def on_drains(self, names):
        """Apply the drain marks of the active catalogue."""
        self.drained = frozenset(names)
        self.update()

    async def follow(self, follower):
        """Apply the drain marks of every new catalogue version, until cancelled."""
        changes = follower.subscribe()
        while True:
            self.on_drains(follower.current.records["drain"])
            await changes.get()

    def update(self):
        """Set the leaving state of every endpoint and broadcast changes to the entries."""
        for backend in self.daemon.backends.values():
            wanted = self.is_leaving(backend.name)
            if wanted and not backend.leaving:
                self.daemon.broadcast(backend.leave())
            elif backend.leaving and not wanted:
                backend.leaving = False
                self.daemon.broadcast(control.Loads((backend.load(),)))

    def is_leaving(self, endpoint):
        """Return whether any source says that the endpoint is leaving."""
        instance = self.daemon.settings.daemon.instance
        if self.daemon.stopping or self.membership.listed_as_leaving:
            return True
        return bool({endpoint, instance} & self.drained)
