"""The state of the running fleet that the admin port shows, as known to this daemon."""

import abc

import attrs


@attrs.frozen
class DaemonStatus:
    """A daemon and the catalogue version that it last reported.

    `heard_ago` is the time since its last message in seconds, -1 if it is unreachable.
    """

    instance: str
    role: str
    data_centre: str = ""
    version: int = 0
    heard_ago: float = -1.0


@attrs.frozen
class EndpointStatus:
    """An endpoint with its latest load report; `state` is live, leaving, draining or lost."""

    name: str
    instance: str
    data_centre: str = ""
    state: str = "live"
    load: object = None


@attrs.frozen
class QuarantineStatus:
    """The quarantine of one content fingerprint; `expires_in` is in seconds."""

    fingerprint: str
    crashes: int
    expires_in: float
    lifted: bool = False


class FleetView(abc.ABC):
    """Lists what this daemon knows of the fleet, without reading the table."""

    @abc.abstractmethod
    async def daemons(self):
        """Return the `DaemonStatus` of this daemon and each known one; may probe them."""

    @abc.abstractmethod
    def endpoints(self):
        """Return the `EndpointStatus` of each known endpoint."""

    @abc.abstractmethod
    def verdicts(self):
        """Return a `QuarantineStatus` for each quarantined fingerprint."""

    def burn(self):
        """Return the `BurnRow`s of this daemon; only entries count burn."""
        return ()


class EmptyView(FleetView):
    """The view of a daemon that knows no other daemons."""

    async def daemons(self):
        """Return an empty tuple."""
        return ()

    def endpoints(self):
        """Return an empty tuple."""
        return ()

    def verdicts(self):
        """Return an empty tuple."""
        return ()
