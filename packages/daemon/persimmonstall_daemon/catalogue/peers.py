"""Interface through which a follower gets the catalogues of other daemons."""

import abc

from persimmonstall.failures import Failure, Reason


class CataloguePeers(abc.ABC):
    """Other daemons, any of which may be dead, unreachable or out of date."""

    @abc.abstractmethod
    async def request(self, message, peer=""):
        """Send a `CatalogueRequest` to `peer`, or to a few daemons if it is empty.

        Return the `CatalogueChanges` with the highest version, or a `Failure`.  The time is
        bounded by the settings.
        """


class NoPeers(CataloguePeers):
    """The peers of a daemon that knows no others."""

    async def request(self, message, peer=""):
        """Return a `Failure`."""
        return Failure(Reason.PEER_LOST, "catalogue_ask", peer)
