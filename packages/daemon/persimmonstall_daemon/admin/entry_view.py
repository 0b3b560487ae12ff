"""The state of the fleet as an entry knows it from its links."""

from .probe import probe
from .view import DaemonStatus, EndpointStatus, FleetView, QuarantineStatus


class EntryView(FleetView):
    """Lists the daemons that `entry` knows, their endpoints and the quarantined content."""

    def __init__(self, entry):
        self.entry = entry

    async def daemons(self):
        """Return this daemon, the daemons linked to it, and the others, which are probed."""
        linked = tuple(map(self.linked_status, self.entry.links.by_instance.values()))
        probed = await probe(self.entry.network, self.entry.settings, self.unlinked())
        return (self.own_status(), *linked, *probed)

    def unlinked(self):
        """Return the listed instances that this entry has no link to."""
        view = self.entry.membership.view
        known = {self.entry.settings.daemon.instance, *self.entry.links.by_instance}
        listed = (*view.members("entry"), *view.members("endpoint"))
        return [instance for instance in listed if instance.name not in known]

    def own_status(self):
        """Return the status of this daemon."""
        daemon = self.entry.settings.daemon
        version = self.entry.catalogue_version
        return DaemonStatus(daemon.instance, daemon.role, daemon.data_centre, version, 0.0)

    def linked_status(self, link):
        """Return the status of the daemon at the other end of a link."""
        instance = link.instance
        heard_ago = self.entry.context.now() - link.last_heard if link.ready else -1.0
        return DaemonStatus(
            instance.name, instance.role, instance.data_centre, link.version, heard_ago
        )

    def endpoints(self):
        """Return the status of each endpoint that linked daemons have reported."""
        links = self.entry.links
        found = []
        for name, instance_name in links.by_endpoint.items():
            link = links.by_instance.get(instance_name)
            if link is not None:
                found.append(self.endpoint_status(name, link))
        return tuple(found)

    def endpoint_status(self, name, link):
        """Return the status of one endpoint of a linked daemon."""
        load = link.loads.get(name)
        return EndpointStatus(
            name, link.name, link.instance.data_centre, self.state(name, link, load), load
        )

    def state(self, name, link, load):
        """Return the endpoint's state: live, leaving, draining or lost."""
        if not link.ready:
            return "lost"
        if self.entry.catalogue.get("drain", name):
            return "draining"
        return "leaving" if load and load.leaving else "live"

    def burn(self):
        """Return the error budget burn that this entry has counted."""
        return self.entry.burn.rows(self.entry.context.now())

    def verdicts(self):
        """Return the quarantine status of each fingerprint with a verdict."""
        now = self.entry.context.wall()
        return tuple(
            QuarantineStatus(one.fingerprint, one.crashes, one.expires - now, one.lifted)
            for one in self.entry.quarantine.verdicts()
        )
