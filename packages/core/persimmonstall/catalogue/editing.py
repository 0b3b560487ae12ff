"""Transactions for operators' changes, and the interpretation of their results.

Every transaction is conditional on the version row, the record's row and the call's row.  So a
change is applied once, to the state that the operator saw, and all changes have one order.  A
transaction that reaches the table late conflicts with a version row that has since advanced.
"""

import hashlib

import attrs
import msgspec

from ..failures import Failure, Reason
from ..outside.table import ABSENT, Committed, Conflict, Write
from .layout import (
    CALLS,
    CONFIG,
    LOG,
    RECORDS,
    VERSION_KEY,
    AppliedCall,
    StoredRecord,
    decode_call,
    decode_stored,
    decode_version,
    encode_call,
    encode_stored,
    encode_version,
    log_key,
    record_key,
)
from .snapshot import Change, encode_change

STEP = "catalogue_change"


@attrs.frozen
class Edit:
    """An operator's change: `value` is the new value of a record, None to delete it.

    `expected` is the version that last changed the record, 0 if the record must not exist.  A
    retry after a lost response has the same `call_id`.  `request` is the encoded request if
    `value` was computed from it and would differ in a retry.
    """

    kind: str
    name: str
    value: object
    expected: int
    call_id: str
    request: bytes = b""

    @property
    def content(self):
        """The kind, name and value of the changed record."""
        return self.kind, self.name, self.value

    def digest(self):
        """Return a hash of the requested change, which a retry of the call must match."""
        return digest(self.request or canonical((*self.content, self.expected)))

    def content_digest(self):
        """Return a hash of the kind, name and value that this edit writes."""
        return digest(canonical(self.content))


def canonical(value):
    """Return an encoding of `value` that is the same in every process."""
    return msgspec.json.encode(value, order="sorted")


def digest(data):
    """Return the SHA-256 hash (hex) of bytes."""
    return hashlib.sha256(data).hexdigest()


@attrs.frozen
class ReadSet:
    """Rows that a change is planned from; None for an absent row."""

    version: object = None
    record: object = None
    call: object = None


@attrs.frozen
class Accepted:
    """The change was made as catalogue version `version`.

    `repeated` means that it had already been made by an earlier call with the same id or by an
    earlier attempt of this call.  `own` means that the record written is the one in this call's
    `Edit`; a retry may have computed another one, for example with a new API key.
    """

    version: int
    repeated: bool = False
    own: bool = True


@attrs.frozen
class Rejected(Failure):
    """The change was not made; the record is at version `current` and has `value`."""

    current: int = 0
    value: object = None


@attrs.frozen
class Transaction:
    """Writes of one change and the catalogue version that they create."""

    version: int
    writes: tuple[Write, ...]


@attrs.frozen
class Retry:
    """The change must be planned again from the rows in `read_set`, which a conflict returned."""

    read_set: ReadSet

    def __bool__(self):
        return False


@attrs.frozen
class Resend:
    """The effect is unknown; resend the same transaction, of which only one can be applied."""

    def __bool__(self):
        return False


def plan_edit(edit, read_set, at):
    """Return the `Transaction` for `edit`, `Accepted` if it has already been made, or a failure.

    `at` is the time in Unix seconds that the change log records.
    """
    if read_set.call:
        return repeated_call_result(edit, decode_call(read_set.call))
    stored = decode_stored(read_set.record)[2] if read_set.record else StoredRecord(0, None)
    if read_set.record and stored.touched < edit.expected:
        return Failure(Reason.TABLE_DOWN, STEP, "table", "the table returns stale reads")
    if stored.touched != edit.expected:
        return rejected(stored)
    if stored.value is None and edit.value is None:
        return Failure(Reason.NOT_FOUND, STEP, detail=f"no {edit.kind} {edit.name}")
    version = decode_version(read_set.version) + 1
    return Transaction(version, tuple(writes(edit, read_set, version, at)))


def rejected(stored):
    """Return the `Rejected` for an edit that expects another version of the record."""
    detail = f"the record is at version {stored.touched}"
    return Rejected(Reason.CONFLICT, STEP, "", detail, stored.touched, stored.value)


def repeated_call_result(edit, call):
    """Return the result of a call whose id has already been used for a change."""
    if call.digest != edit.digest():
        detail = f"call id {edit.call_id} was used for another change"
        return Failure(Reason.KEY_CONFLICT, STEP, detail=detail)
    return Accepted(call.version, True, call.content == edit.content_digest())


def writes(edit, read_set, version, at):
    """Return the conditional writes of one change."""
    change = Change(version, *edit.content, edit.call_id, at)
    value = None if edit.value is None else encode_stored(StoredRecord(version, edit.value))
    call = encode_call(AppliedCall(version, edit.digest(), edit.content_digest()))
    key = record_key(edit.kind, edit.name)
    return [
        Write(CONFIG, VERSION_KEY, row_version(read_set.version), encode_version(version)),
        Write(RECORDS, key, row_version(read_set.record), value),
        Write(LOG, log_key(version), ABSENT, encode_change(change)),
        Write(CALLS, edit.call_id, ABSENT, call),
    ]


def row_version(row):
    """Return the expected version of a row for a conditional write."""
    return row.version if row else ABSENT


def interpret_result(edit, read_set, transaction, result):
    """Return what the table's `result` for `transaction`, planned from `read_set`, means.

    That is `Accepted`, `Retry` after another operator's change, `Resend` if the effect is
    unknown, or the table's `Failure`.  The rows of a conflict are newer than any read, so the
    call's row among them proves that the change was made.
    """
    if isinstance(result, Committed):
        return Accepted(transaction.version)
    if isinstance(result, Conflict):
        return interpret_conflict(edit, read_set, result)
    if result.reason is Reason.AMBIGUOUS:
        return Resend()
    return result


def interpret_conflict(edit, read_set, conflict):
    """Return the result that a conflict proves, or `Retry` from the rows that it contains.

    Only the record's row can be deleted, so an absent row in the conflict is the record's.
    """
    record = read_set.record
    version = read_set.version
    for row in conflict.rows:
        row_id = (row.table, row.key) if row else None
        if row_id == (CALLS, edit.call_id):
            return repeated_call_result(edit, decode_call(row))
        if row_id == (CONFIG, VERSION_KEY):
            version = row
        if row_id in (None, (RECORDS, record_key(edit.kind, edit.name))):
            record = row
    return Retry(ReadSet(version, record, None))
