"""When an endpoint daemon takes no new work: on the first word from anywhere."""

from persimmonstall.messages import control


class LeavingTracker:
    """Tells an endpoint daemon which of its endpoints take no new work.

    The sources are the platform's list, operators' drain marks (the catalogue's `drained`
    names, of endpoints or of the instance) and the daemon's own shutdown.
    """

    def __init__(self, daemon, membership):
        self.daemon = daemon
        self.membership = membership
        self.drained = frozenset()

    def on_drains(self, names):
        """Take the drain marks of the catalogue in force."""
        self.drained = frozenset(names)
        self.update()

    async def follow(self, follower):
        """Take the drain marks of every version that comes into force, until cancelled."""
        changes = follower.subscribe()
        while True:
            self.on_drains(follower.current.records["drain"])
            await changes.get()

    def update(self):
        """Bring every endpoint to what the sources say, and tell the entries of changes."""
        for backend in self.daemon.backends.values():
            wanted = self.is_leaving(backend.name)
            if wanted and not backend.leaving:
                self.daemon.broadcast(backend.leave())
            elif backend.leaving and not wanted:
                backend.leaving = False
                self.daemon.broadcast(control.Loads((backend.load(),)))

    def is_leaving(self, endpoint):
        """Whether any source says that the endpoint is leaving."""
        instance = self.daemon.settings.daemon.instance
        if self.daemon.stopping or self.membership.own_listed_leaving:
            return True
        return bool({endpoint, instance} & self.drained)
