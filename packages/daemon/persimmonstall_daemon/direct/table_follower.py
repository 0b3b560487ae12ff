"""Follows one table of the directory: reads it in full, then awaits its changes in long polls.

A connection can die in silence, and then the answer to a poll never comes.  Each poll is therefore
short enough that the table can be asked anew, twice if need be, in the time in which a change has
to apply.
"""

import asyncio

from persimmonstall.direct.updates import ReachabilityUpdate
from persimmonstall.failures import Failure

from ..observe import logs

MS_PER_SECOND = 1000.0


class TableFollower:
    """Reports the changes of `table`, which `store` holds, when `readers` say that it is read.

    `decode(rows, whole, restored)` returns the updates to report: `whole` is true after a full
    read, `restored` if the store has come back from an old copy since the last one.  `era` is that
    of the last answer, None before the first.  `failures` counts the calls since then that failed.
    `outdated` says that the table is to be read in full again.
    """

    def __init__(self, table, store, clock, readers, decode, report):
        self.table = table
        self.store = store
        self.clock = clock
        self.readers = readers
        self.decode = decode
        self.report = report
        self.log = logs.get("directory")
        self.era = None
        self.reachable = None
        self.failures = 0
        self.outdated = False

    async def run(self):
        """Follow the table until cancelled, from a full read on."""
        revision = None
        while True:
            whole = revision is None
            rows = await self.ask(revision)
            if isinstance(rows, Failure):
                await self.pause()
            elif rows.history_gone or (not whole and rows.era != self.era):
                self.log.warning("history_gone", table=self.table, revision=revision, era=rows.era)
                revision = None
            else:
                revision = None if self.outdated else rows.revision
                self.outdated = False
                await self.apply(rows, whole)

    async def ask(self, revision):
        """Return the rows after a revision, all for None, or a `Failure`."""
        if revision is not None:
            await self.readers.wait_for_turn()
        asked_at = self.clock.now()
        if revision is None:
            rows = await self.store.read(self.table)
        else:
            times = self.readers.poll_times(self.failures)
            rows = await self.store.changes(self.table, revision, times)
        self.report_reachability(rows, asked_at)
        self.failures = self.failures + 1 if isinstance(rows, Failure) else 0
        return rows

    async def pause(self):
        """Pause after a failed call; not after the first, whose connection may have been dead."""
        await asyncio.sleep(self.clock.jitter(self.readers.retry_seconds(self.failures)))

    async def apply(self, rows, whole):
        """Report the updates in rows; changes that come right after them are read together."""
        restored = self.era is not None and rows.era > self.era
        if whole or rows.rows:
            for update in self.decode(rows, whole, restored):
                self.report(update)
        self.era = rows.era
        if rows.rows:
            await self.readers.gather()

    def report_reachability(self, rows, asked_at):
        """Report whether the store answered a call; log when that changes.

        The call began at the time `asked_at`.
        """
        failed = isinstance(rows, Failure)
        self.report(ReachabilityUpdate(not failed, rows.detail if failed else "", self.table))
        if self.reachable == (not failed):
            return
        self.reachable = not failed
        took_ms = round((self.clock.now() - asked_at) * MS_PER_SECOND)
        if failed:
            logs.log_failure(self.log, "directory_lost", rows, table=self.table, took_ms=took_ms)
        else:
            self.log.info(
                "directory_reached", table=self.table, revision=rows.revision, took_ms=took_ms
            )
