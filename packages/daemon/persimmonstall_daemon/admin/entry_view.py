"""The fleet as an entry sees it over its links."""

from .probe import probe
from .view import DaemonStatus, EndpointStatus, FleetView, QuarantineStatus


class EntryView(FleetView):
    """Shows the daemons that `entry` is linked to, their endpoints and the quarantine."""

    def __init__(self, entry):
        self.entry = entry

    async def daemons(self):
        """Return this daemon, those it keeps a link to, and the others by asking them."""
        linked = tuple(map(self.seen, self.entry.links.by_instance.values()))
        asked = await probe(self.entry.network, self.entry.settings, self.unlinked())
        return (self.own(), *linked, *asked)

    def unlinked(self):
        """Return the listed instances that this entry keeps no link to."""
        view = self.entry.membership.view
        known = {self.entry.settings.daemon.instance, *self.entry.links.by_instance}
        listed = (*view.members("entry"), *view.members("endpoint"))
        return [instance for instance in listed if instance.name not in known]

    def own(self):
        """Return this daemon."""
        daemon = self.entry.settings.daemon
        version = self.entry.version
        return DaemonStatus(daemon.instance, daemon.role, daemon.data_centre, version, 0.0)

    def seen(self, link):
        """Return the daemon behind a link."""
        instance = link.instance
        ago = self.entry.context.now() - link.last_heard if link.ready else -1.0
        return DaemonStatus(instance.name, instance.role, instance.data_centre, link.version, ago)

    def endpoints(self):
        """Return the endpoints that linked daemons have reported."""
        links = self.entry.links
        found = []
        for name, instance_name in links.by_endpoint.items():
            link = links.by_instance.get(instance_name)
            if link is not None:
                found.append(self.endpoint(name, link))
        return tuple(found)

    def endpoint(self, name, link):
        """Return one endpoint behind a link."""
        load = link.loads.get(name)
        return EndpointStatus(
            name, link.name, link.instance.data_centre, self.state(name, link, load), load
        )

    def state(self, name, link, load):
        """Return the state of an endpoint in a word."""
        if not link.ready:
            return "lost"
        if self.entry.catalogue.get("drain", name):
            return "draining"
        return "leaving" if load and load.leaving else "live"

    def burn(self):
        """Return the burn counts of this entry."""
        return self.entry.burn.rows(self.entry.context.now())

    def verdicts(self):
        """Return the fingerprints that this entry refuses."""
        now = self.entry.context.wall()
        return tuple(
            QuarantineStatus(one.fingerprint, one.crashes, one.expires - now, one.lifted)
            for one in self.entry.quarantine.verdicts()
        )
