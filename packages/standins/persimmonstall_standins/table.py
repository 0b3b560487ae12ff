"""In-memory stand-in for the platform's table service."""

from bisect import bisect_left, bisect_right, insort

from persimmonstall.failures import Reason
from persimmonstall.outside.table import ABSENT, Committed, Conflict, Row, Table

from .faults import FaultyStore


class MemoryTable(FaultyStore, Table):
    """A transactional table in memory; `rows` maps (table, key) to `Row`."""

    down_reason = Reason.TABLE_DOWN

    def __init__(self, faults=None, **options):
        super().__init__(faults, name="table", **options)
        self.rows = {}
        self.keys = {}
        self.old_rows = None

    async def read(self, table, key, timeout):
        """Return the `Row`, None when absent, or a `Failure`."""
        return await self.run_read("read", lambda: self.visible().get((table, key)), timeout)

    async def scan(self, table, prefix, after, limit, timeout):
        """Return up to `limit` rows in key order with `prefix` and key > `after`."""
        return await self.run_read(
            "scan", lambda: self.scan_now(table, prefix, after, limit), timeout
        )

    async def commit(self, writes, timeout):
        """Apply all `Write`s or none: return `Committed`, `Conflict` or a `Failure`."""
        writes = tuple(writes)
        return await self.run_write("commit", lambda: self.commit_now(writes), timeout)

    def visible(self):
        """Return the rows that reads see: a copy of the old ones while `serve_old` is on."""
        if not self.faults.serve_old:
            self.old_rows = None
        return self.rows if self.old_rows is None else self.old_rows

    def scan_now(self, table, prefix, after, limit):
        """Return the rows of one page."""
        rows = self.visible()
        keys = self.keys.get(table, [])
        start = max(bisect_right(keys, after), bisect_left(keys, prefix))
        found = []
        for key in keys[start:]:
            if len(found) == limit or not key.startswith(prefix):
                break
            row = rows.get((table, key))
            if row is not None:
                found.append(row)
        return tuple(found)

    def commit_now(self, writes):
        """Apply the writes if each row is at its expected version."""
        rows = [self.rows.get((write.table, write.key)) for write in writes]
        conflicting = [
            row
            for row, write in zip(rows, writes, strict=True)
            if (row.version if row else ABSENT) != write.expected
        ]
        if conflicting:
            return Conflict(tuple(conflicting))
        self.copy_old_rows()
        return Committed(tuple(self.put(write) for write in writes))

    def copy_old_rows(self):
        """Copy the rows for reads before the first write while `serve_old` is on."""
        if not self.faults.serve_old:
            self.old_rows = None
        elif self.old_rows is None:
            self.old_rows = dict(self.rows)

    def put(self, write):
        """Write one row and return its new version."""
        row_id = (write.table, write.key)
        if write.value is None:
            self.rows.pop(row_id, None)
            return ABSENT
        keys = self.keys.setdefault(write.table, [])
        position = bisect_right(keys, write.key)
        if not position or keys[position - 1] != write.key:
            insort(keys, write.key)
        version = write.expected + 1
        self.rows[row_id] = Row(write.table, write.key, version, write.value)
        return version
