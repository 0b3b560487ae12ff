"""Connections between daemons, each with an ordered stream of messages in both directions.

The daemon's adapter uses gRPC; tests use an in-memory implementation with delays and faults.
"""

import abc


class Link(abc.ABC):
    """An open connection; `peer` is the other daemon's address or name.

    Either direction may stop delivering messages permanently without an error.
    """

    peer: str

    @abc.abstractmethod
    def send(self, message):
        """Queue `message` without blocking; return False if the link is closed."""

    @abc.abstractmethod
    async def receive(self):
        """Return the next message, or a `Failure` when the link is closed."""

    async def flush(self, timeout):
        """Wait up to `timeout` seconds until queued messages are sent; return whether they are."""
        return True

    @abc.abstractmethod
    async def close(self):
        """Close the link; may be called repeatedly."""


class Network(abc.ABC):
    """Opens and accepts links."""

    @abc.abstractmethod
    async def dial(self, address, timeout):
        """Open a link to the daemon at `address` ("IP:port"); return a `Link` or a `Failure`."""

    @abc.abstractmethod
    async def listen(self, address, accept):
        """Accept links at `address` and call ``await accept(link)`` for each.

        Return an object whose async method `close` stops this.
        """
