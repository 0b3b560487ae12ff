"""One operator's change: the transaction that makes it, and what the table's answer means.

Every transaction compares and sets the version row, the record's row and the call's row, so
a change is applied once, on the state that the operator saw, in one order with all others.
A transaction that the table applies late meets a version row that has moved on and loses.
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
    """What an operator asks for: `value` for a record, or its deletion (None).

    `expected` is the version that last touched the record, 0 for a record that must not
    exist.  The same `call_id` is sent again when an answer was lost; `request` is the call's
    own form where `value` was worked out from it and would differ in a repeat.
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
        """Return a hash of what the call asks for."""
        return digest(self.request or canonical((*self.content, self.expected)))

    def content_digest(self):
        """Return a hash of the record that the call writes."""
        return digest(canonical(self.content))


def canonical(value):
    """Return bytes that are equal for equal values in every process."""
    return msgspec.json.encode(value, order="sorted")


def digest(data):
    """Return the SHA-256 hash (hex) of bytes."""
    return hashlib.sha256(data).hexdigest()


@attrs.frozen
class ReadSet:
    """Rows read before a change; None for an absent row."""

    version: object = None
    record: object = None
    call: object = None


@attrs.frozen
class Accepted:
    """The change is in effect as catalogue version `version`.

    `repeated` says that an earlier call with the same id, or an earlier round of this one,
    had already made it; `own` that the record is the one of this call.
    """

    version: int
    repeated: bool = False
    own: bool = True


@attrs.frozen
class Rejected(Failure):
    """The change was not made: the record is at `current` and reads `value`."""

    current: int = 0
    value: object = None


@attrs.frozen
class Transaction:
    """The writes that make one change, and the version that they make."""

    version: int
    writes: tuple[Write, ...]


@attrs.frozen
class Retry:
    """The change has to be planned again, from the rows that a conflict has `read_set`."""

    read_set: ReadSet

    def __bool__(self):
        return False


@attrs.frozen
class Resend:
    """The effect is unknown: the same transaction is sent again, and one of them loses."""

    def __bool__(self):
        return False


def plan(edit, read_set, at):
    """Return what to do about `edit`: a `Transaction`, `Accepted` or a failure.

    `at` is the wall-clock time in Unix seconds, for the log.
    """
    if read_set.call:
        return answer_repeat(edit, decode_call(read_set.call))
    stored = decode_stored(read_set.record)[2] if read_set.record else StoredRecord(0, None)
    if read_set.record and stored.touched < edit.expected:
        return Failure(Reason.TABLE_DOWN, STEP, "table", "the table serves old reads")
    if stored.touched != edit.expected:
        return rejected(stored)
    if stored.value is None and edit.value is None:
        return Failure(Reason.NOT_FOUND, STEP, detail=f"no {edit.kind} {edit.name}")
    version = decode_version(read_set.version) + 1
    return Transaction(version, tuple(writes(edit, read_set, version, at)))


def rejected(stored):
    """Return the answer to an edit of a record that is at another version."""
    detail = f"the record is at version {stored.touched}"
    return Rejected(Reason.CONFLICT, STEP, "", detail, stored.touched, stored.value)


def answer_repeat(edit, call):
    """Return the answer to a call whose id has already made a change."""
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
    """Return what the table's answer to `transaction`, planned from `read_set`, means.

    `Accepted`, `Retry` after another operator's change, `Resend` when the effect is unknown,
    or the table's `Failure`.  A conflict's rows are newer than any read, so the call's row
    among them is the proof that the change was made.
    """
    if isinstance(result, Committed):
        return Accepted(transaction.version)
    if isinstance(result, Conflict):
        return judge_conflict(edit, read_set, result)
    if result.reason is Reason.AMBIGUOUS:
        return Resend()
    return result


def judge_conflict(edit, read_set, conflict):
    """Return the answer proved by a conflict, or `Retry` from the rows it shows.

    Only the record's row is ever deleted, so it is the absent one among the rows.
    """
    record = read_set.record
    version = read_set.version
    for row in conflict.rows:
        place = (row.table, row.key) if row else None
        if place == (CALLS, edit.call_id):
            return answer_repeat(edit, decode_call(row))
        if place == (CONFIG, VERSION_KEY):
            version = row
        if place in (None, (RECORDS, record_key(edit.kind, edit.name))):
            record = row
    return Retry(ReadSet(version, record, None))
