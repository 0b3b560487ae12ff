"""The task that stores snapshots of the catalogue and prunes the change log."""

from persimmonstall.catalogue.layout import (
    CALLS,
    CONFIG,
    LOG,
    SNAPSHOT_KEY,
    SNAPSHOT_PREFIX,
    decode_version,
    encode_version,
    log_key,
    snapshot_name,
)
from persimmonstall.catalogue.snapshot import decode_change
from persimmonstall.failures import Failure
from persimmonstall.outside.table import ABSENT, Write

SNAPSHOT_INTERVAL = 256
"""Number of changes between two snapshots."""
KEPT_LOG_CHANGES = 1024
"""Number of changes before the newest snapshot that stay in the log, with their call ids."""
KEPT_SNAPSHOTS = 3
PRUNE_BATCH_ROWS = 50


class CatalogueCompactor:
    """Stores snapshots and prunes the log.

    It runs in each entry daemon.  Each snapshot is followed by pruning in only one of them: the
    one whose write of the snapshot row succeeds.
    """

    def __init__(self, settings, table, objects, follower):
        self.settings = settings
        self.table = table
        self.objects = objects
        self.follower = follower

    @property
    def timeout(self):
        """Timeout of one call, in seconds."""
        return self.settings.platform.timeout

    async def run(self):
        """Check after every change whether a snapshot is due, until cancelled."""
        queue = self.follower.subscribe()
        while True:
            await self.compact()
            await queue.get()

    async def compact(self):
        """Store a snapshot if one is due, then prune; a failure is retried at the next change."""
        row = await self.table.read(CONFIG, SNAPSHOT_KEY, self.timeout)
        version = self.follower.version
        if isinstance(row, Failure) or version < decode_version(row) + SNAPSHOT_INTERVAL:
            return
        data = self.follower.current.dump()
        stored = await self.objects.put(snapshot_name(version), data, self.timeout)
        if not stored:
            return
        expected = row.version if row else ABSENT
        write = Write(CONFIG, SNAPSHOT_KEY, expected, encode_version(version))
        if await self.table.commit([write], self.timeout):
            await self.prune_log(version - KEPT_LOG_CHANGES)
            await self.prune_snapshots()

    async def prune_log(self, last):
        """Delete the rows of the log up to version `last`, and the rows of their calls."""
        while last > 0:
            rows = await self.table.scan(LOG, "", "", PRUNE_BATCH_ROWS, self.timeout)
            if isinstance(rows, Failure):
                return
            old = [row for row in rows if row.key <= log_key(last)]
            if not old or not await self.table.commit(deletions(old), self.timeout):
                return

    async def prune_snapshots(self):
        """Delete all but the newest snapshots."""
        names = await self.objects.list(SNAPSHOT_PREFIX, self.timeout)
        if isinstance(names, Failure):
            return
        for name in names[:-KEPT_SNAPSHOTS]:
            await self.objects.delete(name, self.timeout)


def deletions(rows):
    """Return the writes that delete rows of the log and the rows of their calls.

    The row of a call is written only once, so its version is 1.
    """
    writes = []
    for row in rows:
        call_id = decode_change(row.value).call_id
        writes.append(Write(LOG, row.key, row.version, None))
        writes.append(Write(CALLS, call_id, 1, None))
    return writes
