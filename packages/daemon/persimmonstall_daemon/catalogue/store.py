"""Writes of the catalogue: an operator's change is accepted once it is known to be in effect."""

import asyncio

from persimmonstall.catalogue.editing import (
    Accepted,
    Edit,
    ReadSet,
    Resend,
    Retry,
    Transaction,
    interpret_result,
    plan,
)
from persimmonstall.catalogue.layout import (
    CALLS,
    CONFIG,
    RECORDS,
    VERSION_KEY,
    StoredRecord,
    decode_stored,
    decode_version,
    record_key,
)
from persimmonstall.catalogue.snapshot import Change, kind_of
from persimmonstall.failures import Failure, Reason

MAX_ROUNDS = 16
MAX_RESENDS = 4
PAUSE_SECONDS = 0.02
STEP = "catalogue_change"


class CatalogueStore:
    """Makes changes through the table; `follower` is told of each, and names the floor.

    A table that shows a version below the floor serves old reads and is not decided upon.
    """

    def __init__(self, settings, table, context, follower):
        self.settings = settings
        self.table = table
        self.context = context
        self.follower = follower

    async def change(self, record, expected_version, call_id, request=b""):
        """Set `record`: `Accepted`, `Rejected` with the current record, or a `Failure`.

        `expected_version` is the version that last touched the record, 0 to create it.
        `request` identifies a repeat of the call where the record may differ in it.
        """
        kind = kind_of(record)
        return await self.make(Edit(kind, record.name, record, expected_version, call_id, request))

    async def delete(self, kind, name, expected_version, call_id, request=b""):
        """Delete a record; answers as `change` does."""
        return await self.make(Edit(kind, name, None, expected_version, call_id, request))

    async def read(self, kind, name):
        """Return the `StoredRecord` record as the table has it (value None: absent), or a `Failure`."""
        row = await self.read_row(RECORDS, record_key(kind, name))
        if isinstance(row, Failure):
            return row
        return decode_stored(row)[2] if row else StoredRecord(0, None)

    async def make(self, edit):
        """Make `edit`; `Failure(Reason.AMBIGUOUS)` when its effect could not be learned."""
        read_set = await self.read_rows(edit)
        if isinstance(read_set, Failure):
            return read_set
        unsure = 0
        transaction = None
        for _ in range(MAX_ROUNDS):
            transaction = transaction or plan(edit, read_set, self.context.wall())
            if not isinstance(transaction, Transaction):
                return self.settled(edit, transaction)
            result = await self.table.commit(transaction.writes, self.settings.platform.timeout)
            verdict = interpret_result(edit, read_set, transaction, result)
            if isinstance(verdict, Resend):
                unsure += 1
            elif isinstance(verdict, Retry):
                read_set = verdict.read_set
                transaction = None
                unsure = 0
            elif not unsure or isinstance(verdict, Accepted):
                return self.settled(edit, verdict)
            if unsure >= MAX_RESENDS:
                break
            await self.back_off()
        return self.undecided(unsure)

    def settled(self, edit, verdict):
        """Hand an accepted change to the follower; return the verdict.

        The change reaches the peers from here also while the table serves old reads.
        """
        if isinstance(verdict, Accepted) and verdict.own:
            now = self.context.wall()
            self.follower.learn(Change(verdict.version, *edit.content, edit.call_id, now))
        return verdict

    def undecided(self, unsure):
        """Return the failure after the last round."""
        if unsure:
            detail = "send the call again with the same call id"
            return Failure(Reason.AMBIGUOUS, STEP, "table", detail)
        return Failure(Reason.TABLE_DOWN, STEP, "table", "too many racing changes")

    async def read_rows(self, edit):
        """Return the `ReadSet` rows that a change is planned from, or a `Failure`."""
        rows = await asyncio.gather(
            self.read_row(CONFIG, VERSION_KEY),
            self.read_row(RECORDS, record_key(edit.kind, edit.name)),
            self.read_row(CALLS, edit.call_id),
        )
        for row in rows:
            if isinstance(row, Failure):
                return row
        if decode_version(rows[0]) < self.follower.sync_state.newest_known:
            return Failure(Reason.TABLE_DOWN, STEP, "table", "the table serves old reads")
        return ReadSet(*rows)

    async def read_row(self, table, key):
        """Return a row, None, or a `Failure`."""
        return await self.table.read(table, key, self.settings.platform.timeout)

    async def back_off(self):
        """Wait a little before the next round, so that racing operators part."""
        await asyncio.sleep(self.context.jitter(PAUSE_SECONDS, 0.9))
