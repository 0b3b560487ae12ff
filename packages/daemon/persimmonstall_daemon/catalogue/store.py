"""Writes to the catalogue; a change is reported as accepted once it is known to be committed."""

import asyncio

from persimmonstall.catalogue.editing import (
    Accepted,
    Edit,
    ReadSet,
    Resend,
    Retry,
    Transaction,
    interpret_result,
    plan_edit,
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
"""Maximum number of commits for one change, including those that conflict."""
MAX_RESENDS = 4
"""Number of commits of one transaction with unknown outcomes after which its change fails."""
BACKOFF_SECONDS = 0.02
STEP = "catalogue_change"


class CatalogueStore:
    """Commits changes to the table and passes each to `follower`.

    A table whose version row is below the newest version that the follower knows serves stale
    reads, so no change is planned from it.
    """

    def __init__(self, settings, table, context, follower):
        self.settings = settings
        self.table = table
        self.context = context
        self.follower = follower

    async def change(self, record, expected_version, call_id, request=b""):
        """Set `record`; return `Accepted`, `Rejected` with the current record, or a `Failure`.

        `expected_version` is the version that last changed the record, 0 to create it.
        `request` is the encoded request, by which a retry is recognised even if its `record`
        differs from that of the first call.
        """
        kind = kind_of(record)
        return await self.commit_edit(
            Edit(kind, record.name, record, expected_version, call_id, request)
        )

    async def delete(self, kind, name, expected_version, call_id, request=b""):
        """Delete a record; return the same results as `change`."""
        return await self.commit_edit(Edit(kind, name, None, expected_version, call_id, request))

    async def read(self, kind, name):
        """Return the `StoredRecord` in the table (value None: absent), or a `Failure`."""
        row = await self.read_row(RECORDS, record_key(kind, name))
        if isinstance(row, Failure):
            return row
        return decode_stored(row)[2] if row else StoredRecord(0, None)

    async def commit_edit(self, edit):
        """Commit `edit`; return `Failure(Reason.AMBIGUOUS)` if its outcome is unknown."""
        read_set = await self.read_rows(edit)
        if isinstance(read_set, Failure):
            return read_set
        unknown_outcomes = 0
        transaction = None
        for _ in range(MAX_ROUNDS):
            transaction = transaction or plan_edit(edit, read_set, self.context.wall())
            if not isinstance(transaction, Transaction):
                return self.finish(edit, transaction)
            result = await self.table.commit(transaction.writes, self.settings.platform.timeout)
            outcome = interpret_result(edit, read_set, transaction, result)
            if isinstance(outcome, Resend):
                unknown_outcomes += 1
            elif isinstance(outcome, Retry):
                read_set = outcome.read_set
                transaction = None
                unknown_outcomes = 0
            elif not unknown_outcomes or isinstance(outcome, Accepted):
                return self.finish(edit, outcome)
            if unknown_outcomes >= MAX_RESENDS:
                break
            await self.back_off()
        return self.final_failure(unknown_outcomes)

    def finish(self, edit, outcome):
        """Pass an accepted change to the follower; return the outcome.

        Peers can then get the change from this daemon even while the table returns stale reads.
        """
        if isinstance(outcome, Accepted) and outcome.own:
            now = self.context.wall()
            self.follower.apply_committed(
                Change(outcome.version, *edit.content, edit.call_id, now)
            )
        return outcome

    def final_failure(self, unknown_outcomes):
        """Return the failure of an edit without a result after the last round."""
        if unknown_outcomes:
            detail = "outcome unknown: retry with the same call id"
            return Failure(Reason.AMBIGUOUS, STEP, "table", detail)
        return Failure(Reason.TABLE_DOWN, STEP, "table", "too many concurrent changes")

    async def read_rows(self, edit):
        """Read the rows that a change is planned from; return a `ReadSet` or a `Failure`."""
        rows = await asyncio.gather(
            self.read_row(CONFIG, VERSION_KEY),
            self.read_row(RECORDS, record_key(edit.kind, edit.name)),
            self.read_row(CALLS, edit.call_id),
        )
        for row in rows:
            if isinstance(row, Failure):
                return row
        if decode_version(rows[0]) < self.follower.sync_state.newest_known:
            return Failure(Reason.TABLE_DOWN, STEP, "table", "the table returns stale reads")
        return ReadSet(*rows)

    async def read_row(self, table, key):
        """Return a row, None, or a `Failure`."""
        return await self.table.read(table, key, self.settings.platform.timeout)

    async def back_off(self):
        """Wait with jitter before the next round, to avoid another conflict between writers."""
        await asyncio.sleep(self.context.jitter(BACKOFF_SECONDS, 0.9))
