"""What the direct way asks of a platform: its directory, its wire format, its memory orders."""

import abc


class Directory(abc.ABC):
    """Configuration and endpoints, as operators and endpoints write them.

    May be slow, out of reach for all or for this instance alone, and may have lost its history.
    """

    @abc.abstractmethod
    async def follow(self, report):
        """Follow both until cancelled, calling `report(news)` with each piece of news.

        News are `ConfigurationUpdate`, `EndpointUpdate` and `ReachabilityUpdate` of `direct.news`.
        """

    @abc.abstractmethod
    def reconnect(self):
        """Take every open call to the directory for lost and read all again."""

    @abc.abstractmethod
    async def register(self, address):
        """Leave this entry's address; return those of other entries, or a `Failure`."""


class Dialect(abc.ABC):
    """How callers and endpoints spell calls and answers."""

    @abc.abstractmethod
    def read_call(self, head, body, now):
        """Return the `Call` of a caller's request, or a `Failure`."""

    @abc.abstractmethod
    def attempt_headers(self, routed, request):
        """Return the header pairs of an attempt."""

    @abc.abstractmethod
    def read_head(self, call, status, headers):
        """Return the `ResponseHead` of an endpoint's answer to `call`."""

    @abc.abstractmethod
    def refusal_reply(self, refusal):
        """Return the `Reply` that tells a caller of a `Refusal`."""


class MemoryReservations(abc.ABC):
    """Reservations of engine memory; each lapses by itself after its time."""

    @abc.abstractmethod
    async def reserve(self, endpoint, ticket, tokens, hold, timeout):
        """Reserve or renew: True, or a `Failure` (NO_MEMORY when there is none)."""

    @abc.abstractmethod
    async def release(self, endpoint, ticket, timeout):
        """End a reservation; an unknown one succeeds.  True or a `Failure`."""
