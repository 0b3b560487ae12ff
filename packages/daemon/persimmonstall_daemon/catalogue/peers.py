"""How a follower reaches other daemons' catalogues."""

import abc

from persimmonstall.failures import Failure, Reason


class Peers(abc.ABC):
    """Other daemons, any of which may be dead, cut off or behind."""

    @abc.abstractmethod
    async def ask(self, message, peer=""):
        """Send `CatalogueRequest` to `peer`, or to a few daemons when empty.

        Return the `CatalogueChanges` with the highest version, or a `Failure`; bounded in
        time by the settings of links.
        """


class NoPeers(Peers):
    """A daemon that knows no others."""

    async def ask(self, message, peer=""):
        """Return a `Failure`: there is nobody to ask."""
        return Failure(Reason.PEER_LOST, "catalogue_ask", peer)
