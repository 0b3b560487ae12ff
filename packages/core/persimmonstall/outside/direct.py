"""Interfaces that a platform implements for direct mode: directory, wire format, memory."""

import abc

import attrs


@attrs.frozen
class Rows:
    """Rows of a table as of `revision`; `position` is its place in the order of all writes.

    The store comes back from an old copy with a higher `era`.  `history_gone` says that it no
    longer has the changes since the requested revision.
    """

    rows: tuple
    revision: int
    position: int = 0
    era: int = 0
    history_gone: bool = False


@attrs.frozen
class PollTimes:
    """Times in seconds of a call that awaits a change.

    The store answers after `wait` if there is no change; its answer may take `answer` more.
    """

    wait: float
    answer: float


class TableStore(abc.ABC):
    """Tables of rows that many write; a call may get no answer, also after it was received."""

    @abc.abstractmethod
    async def read(self, table):
        """Return all `Rows` of a table, or a `Failure`."""

    @abc.abstractmethod
    async def changes(self, table, revision, times):
        """Return the `Rows` changed after a revision within the `PollTimes`, or a `Failure`."""


class Directory(abc.ABC):
    """The store to which operators write the configuration and endpoints register.

    It may be slow, unreachable for all instances or only for this one, and may have discarded its
    change history.
    """

    @abc.abstractmethod
    async def follow(self, report, readers):
        """Watch configuration and endpoints until cancelled; pass each update to `report`.

        `readers` says when this entry is to read, and for how long a call waits for a change.

        Updates are the classes of `direct.updates`: `ConfigurationUpdate`, `EndpointUpdate` and
        `ReachabilityUpdate`.
        """

    @abc.abstractmethod
    def reconnect(self):
        """Treat every open call to the directory as lost and read everything again."""

    @abc.abstractmethod
    def read_endpoints_again(self):
        """Read all endpoints again once the open call has ended.

        An endpoint that writes its row anew, otherwise unchanged, does not change the table.
        """

    @abc.abstractmethod
    async def register(self, address):
        """Write this entry's row; return the `EntryRow`s of the others, or a `Failure`.

        Those that were written last come first.
        """

    @abc.abstractmethod
    async def remove_entries(self, rows):
        """Remove the `EntryRow`s, all or none of them.

        Return True, False if one was written since it was read, or a `Failure`.
        """

    @abc.abstractmethod
    async def read_crash_records(self, kind):
        """Return the `CrashRecord`s of a `RecordKind`, or a `Failure`."""

    @abc.abstractmethod
    async def write_crash_records(self, kind, records, removed):
        """Store `CrashRecord`s, and remove those with the keys `removed`, in one call.

        Return True or a `Failure`.
        """


class Dialect(abc.ABC):
    """The HTTP headers and bodies in which callers and endpoints exchange calls and answers."""

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
        """Return the `Reply` that answers a caller with a `Refusal`."""


class MemoryReservations(abc.ABC):
    """Reservations of engine memory; each expires by itself after `hold` seconds."""

    @abc.abstractmethod
    async def reserve(self, endpoint, ticket, tokens, hold, timeout):
        """Reserve `tokens` under the id `ticket`, or renew that reservation.

        Return True, or a `Failure` (NO_MEMORY if there is too little).
        """

    @abc.abstractmethod
    async def release(self, endpoint, ticket, timeout):
        """Release a reservation; return True, also if it is unknown, or a `Failure`."""
