"""Connections between daemons: a multiplexed, ordered stream of messages each way.

The daemon's adapter uses gRPC; tests use an in-memory one with delay and faults.
"""

import abc


class Link(abc.ABC):
    """One open connection; `peer` is the other daemon's address or name.

    A connection may go silent for good in either direction without an error.
    """

    peer: str

    @abc.abstractmethod
    def send(self, message):
        """Queue `message`; never blocks.  False when the link is closed."""

    @abc.abstractmethod
    async def receive(self):
        """Return the next message, or a `Failure` once the link is closed."""

    async def flush(self, timeout):
        """Wait until queued messages have left, at most `timeout` seconds.  True if they have."""
        return True

    @abc.abstractmethod
    async def close(self):
        """Close the link; closing twice is harmless."""


class Network(abc.ABC):
    """Opens links and accepts them."""

    @abc.abstractmethod
    async def dial(self, address, timeout):
        """Open a link to the daemon at `address` ("IP:port"): a `Link` or a `Failure`."""

    @abc.abstractmethod
    async def listen(self, address, accept):
        """Accept links at `address`, calling ``await accept(link)`` for each until closed.

        Returns an object with an async `close` method.
        """
