"""The platform's transactional table service."""

import abc

import attrs

ABSENT = 0
"""Version of a row that does not exist."""


@attrs.frozen
class Row:
    """A row; `version` starts at 1 and increases by one with every write."""

    table: str
    key: str
    version: int
    value: bytes


@attrs.frozen
class Write:
    """A conditional write, applied only if the row's version is `expected` (`ABSENT` if none).

    A `value` of None deletes the row; a row that is written after a deletion starts at version 1.
    """

    table: str
    key: str
    expected: int
    value: bytes | None


@attrs.frozen
class Committed:
    """All writes were applied; `versions` are the new versions in the order of the writes."""

    versions: tuple[int, ...]


@attrs.frozen
class Conflict:
    """No write was applied; `rows` are those not at the expected version (None if absent)."""

    rows: tuple[Row | None, ...]

    def __bool__(self):
        return False


class Table(abc.ABC):
    """A transactional table that allows several hundred writes and about 2,000 reads per second.

    Calls may be slow or fail for a long time.  A `commit` that returns
    `Failure(Reason.AMBIGUOUS)` may have been applied or may be applied later.  A `read` is
    linearizable, except that the service may return stale reads during an outage.
    """

    @abc.abstractmethod
    async def read(self, table, key, timeout):
        """Return the `Row`, None if it does not exist, or a `Failure`; `timeout` is in seconds."""

    @abc.abstractmethod
    async def scan(self, table, prefix, after, limit, timeout):
        """Return up to `limit` rows in key order with `prefix` and a key greater than `after`."""

    @abc.abstractmethod
    async def commit(self, writes, timeout):
        """Apply all `Write`s or none; return `Committed`, `Conflict` or a `Failure`.

        After `Failure(Reason.TABLE_DOWN)` the writes are certainly not applied.  After
        `Failure(Reason.AMBIGUOUS)` they may have been applied or may be applied later.
        """
