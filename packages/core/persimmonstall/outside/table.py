"""The platform's transactional table service."""

import abc

import attrs

ABSENT = 0
"""Version that stands for a row that does not exist."""


@attrs.frozen
class Row:
    """One row: `version` grows by one with every write and starts at 1; `value` is bytes."""

    table: str
    key: str
    version: int
    value: bytes


@attrs.frozen
class Write:
    """One conditional write: applied only while the row is at `expected` (`ABSENT`: no row).

    `value` None deletes the row; a row written after a deletion starts at version 1 again.
    """

    table: str
    key: str
    expected: int
    value: bytes | None


@attrs.frozen
class Committed:
    """All writes of a transaction took effect; `versions` are in the order of the writes."""

    versions: tuple[int, ...]


@attrs.frozen
class Conflict:
    """No write took effect: these rows were not at the expected version (None: absent)."""

    rows: tuple[Row | None, ...]

    def __bool__(self):
        return False


class Table(abc.ABC):
    """A transactional table with several hundred writes and about 2,000 reads a second.

    Calls may be slow or fail for a long time.  A `commit` that returns
    `Failure(Reason.AMBIGUOUS)` may have taken effect, or may take effect later.  A `read` is
    linearizable unless the service is serving old reads during an outage.
    """

    @abc.abstractmethod
    async def read(self, table, key, timeout):
        """Return the `Row`, None when absent, or a `Failure`; `timeout` is in seconds."""

    @abc.abstractmethod
    async def scan(self, table, prefix, after, limit, timeout):
        """Return up to `limit` rows in key order with `prefix` and key > `after`."""

    @abc.abstractmethod
    async def commit(self, writes, timeout):
        """Apply all `Write`s or none: return `Committed`, `Conflict` or a `Failure`.

        `Failure(Reason.TABLE_DOWN)`: certainly without effect.
        `Failure(Reason.AMBIGUOUS)`: the effect is unknown and may still come.
        """
