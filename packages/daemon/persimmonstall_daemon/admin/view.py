"""What the operators' port shows of the running fleet, from the daemon that answers."""

import abc

import attrs


@attrs.frozen
class DaemonStatus:
    """A daemon and the catalogue version it last named; `heard_ago` in seconds, or -1."""

    instance: str
    role: str
    data_centre: str = ""
    version: int = 0
    heard_ago: float = -1.0


@attrs.frozen
class EndpointStatus:
    """An endpoint with its latest load; `state` is live, leaving, draining or lost."""

    name: str
    instance: str
    data_centre: str = ""
    state: str = "live"
    load: object = None


@attrs.frozen
class QuarantineStatus:
    """A quarantined fingerprint; `expires_in` in seconds."""

    fingerprint: str
    crashes: int
    expires_in: float
    lifted: bool = False


class FleetView(abc.ABC):
    """Lists what this daemon knows; nothing here reads the table."""

    @abc.abstractmethod
    async def daemons(self):
        """Return a `DaemonStatus` for each daemon known, this one included; may ask them."""

    @abc.abstractmethod
    def endpoints(self):
        """Return a `EndpointStatus` for each endpoint known."""

    @abc.abstractmethod
    def verdicts(self):
        """Return a `QuarantineStatus` for each quarantined fingerprint."""

    def burn(self):
        """Return the `BurnRow`s of this daemon; only entries have any."""
        return ()


class EmptyView(FleetView):
    """A daemon that knows of no fleet."""

    async def daemons(self):
        """Return no daemon."""
        return ()

    def endpoints(self):
        """Return no endpoint."""
        return ()

    def verdicts(self):
        """Return no verdict."""
        return ()
