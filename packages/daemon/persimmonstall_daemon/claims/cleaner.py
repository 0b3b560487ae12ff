"""Deletes claims that are older than the retention time, with their stored answers."""

import asyncio
from random import Random

from persimmonstall.claims import records
from persimmonstall.claims.retention import row_expired
from persimmonstall.clock import Context
from persimmonstall.failures import Failure
from persimmonstall.outside.table import Write

PAUSE_SECONDS = 60.0
"""Mean delay before the next page; there is none after a page with expired rows."""

PAGE_ROWS = 100


class ClaimCleaner:
    """Scans the claims page by page; `run_id` seeds the jitter and sets the first row."""

    def __init__(self, settings, table, objects, context, run_id):
        self.timeout = settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = Context(context.now, context.wall, Random(run_id))
        self.after = records.row_key("", run_id)

    async def run(self):
        """Scan until cancelled."""
        while True:
            deleted = await self.clean_page()
            if not deleted:
                await asyncio.sleep(self.context.jitter(PAUSE_SECONDS))

    async def clean_page(self):
        """Delete the expired rows of the next page; return their number."""
        rows = await self.table.scan(records.TABLE, "", self.after, PAGE_ROWS, self.timeout)
        if isinstance(rows, Failure):
            return 0
        self.after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        deleted = 0
        for row in rows:
            deleted += await self.clean(row)
        return deleted

    async def clean(self, row):
        """Delete an expired row, its stored answer first; return whether it was deleted."""
        claim = records.decode_claim(row.value)
        if not isinstance(claim, records.Claim) or not row_expired(claim.at, self.context.wall()):
            return False
        name = claim.answer.object_name if isinstance(claim, records.Finished) else ""
        if name and not await self.objects.delete(name, self.timeout):
            return False
        write = Write(records.TABLE, row.key, row.version, None)
        return bool(await self.table.commit((write,), self.timeout))
