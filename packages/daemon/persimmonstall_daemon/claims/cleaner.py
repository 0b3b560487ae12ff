"""Deletes claims that are past their retention time, with their stored answers."""

import asyncio
from random import Random

from persimmonstall.claims import records
from persimmonstall.claims.retention import row_expired
from persimmonstall.clock import Context
from persimmonstall.failures import Failure
from persimmonstall.outside.table import Write

PAUSE_SECONDS = 60.0
"""Mean time between two pages; pages with expired rows follow each other at once."""

PAGE_ROWS = 100


class ClaimCleaner:
    """Walks over the claims page by page; `run_id` seeds where it begins."""

    def __init__(self, settings, table, objects, context, run_id):
        self.timeout = settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = Context(context.now, context.wall, Random(run_id))
        self.after = records.row_key("", run_id)

    async def run(self):
        """Clean until cancelled."""
        while True:
            deleted = await self.clean_page()
            if not deleted:
                await asyncio.sleep(self.context.jitter(PAUSE_SECONDS))

    async def clean_page(self):
        """Delete what has expired in the next page; return the number of rows."""
        rows = await self.table.scan(records.TABLE, "", self.after, PAGE_ROWS, self.timeout)
        if isinstance(rows, Failure):
            return 0
        self.after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        deleted = 0
        for row in rows:
            deleted += await self.clean(row)
        return deleted

    async def clean(self, row):
        """Delete a row, its answer first, if it has expired; return whether it was."""
        claim = records.decode_claim(row.value)
        if not isinstance(claim, records.Claim) or not row_expired(claim.at, self.context.wall()):
            return False
        name = claim.answer.object_name if isinstance(claim, records.Finished) else ""
        if name and not await self.objects.delete(name, self.timeout):
            return False
        write = Write(records.TABLE, row.key, row.version, None)
        return bool(await self.table.commit((write,), self.timeout))
