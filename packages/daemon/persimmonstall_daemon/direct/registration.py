"""Keeps this entry's row in the directory, and removes those of entries that are gone."""

import asyncio

from persimmonstall.direct.entry_rows import RENEWAL_SECONDS, EntryRows
from persimmonstall.failures import Failure

from ..observe import logs

RETRY_SECONDS = 30.0
"""Time after a failed renewal before the next one."""

MAX_REMOVED = 50
"""Maximum number of rows that an entry removes in one call."""


class Registration:
    """Registers the entry of `peers` and adds the entries that the directory lists to these.

    An ended row is removed by the entry that owns its address, unless that was heard lately, and
    only if the directory still holds it as it was read: one that is renewed meanwhile stays.  A
    living entry whose row is gone all the same writes it again with its next renewal.
    """

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.rows = EntryRows()
        self.log = logs.get("peers")

    async def run(self):
        """Renew the row until cancelled."""
        pause = RENEWAL_SECONDS
        while True:
            await asyncio.sleep(self.entry.clock.jitter(pause))
            pause = RENEWAL_SECONDS if await self.renew() else RETRY_SECONDS

    async def register(self):
        """Write this entry's row and add the entries found; return their rows or a `Failure`."""
        found = await self.entry.directory.register(self.peers.address)
        if isinstance(found, Failure):
            logs.log_failure(self.log, "introduction_failed", found)
            return found
        for row in found:
            self.peers.add_peer(row.address)
        self.log.info("introduced", peers=len(found))
        return found

    async def renew(self):
        """Renew the row and remove ended ones; return whether the directory answered."""
        found = await self.register()
        if isinstance(found, Failure):
            return False
        self.rows.observe(found)
        ended = [row for row in self.rows.ended() if self.may_remove(row)][:MAX_REMOVED]
        if ended:
            await self.remove(ended)
        return True

    def may_remove(self, row):
        """Return whether this entry is to remove an ended row."""
        return row.address not in self.peers.peers and self.entry.ownership.owns(row.address)

    async def remove(self, rows):
        """Remove rows; if one was renewed meanwhile none is removed now."""
        removed = await self.entry.directory.remove_entries(rows)
        if isinstance(removed, Failure):
            logs.log_failure(self.log, "entries_not_removed", removed)
        else:
            self.log.info("entries_removed", count=len(rows) if removed else 0, ended=len(rows))
