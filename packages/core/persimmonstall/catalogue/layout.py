"""Rows of the catalogue in the table service.

There is one row for each record, one row for each version in the change log, one row for each
operator's call, and the version row, which every change advances, so that all changes have one
order.
"""

import attrs
import msgspec

from .records import to_record

CONFIG = "config"
RECORDS = "catalogue"
LOG = "catalogue_log"
CALLS = "catalogue_calls"
VERSION_KEY = "version"
SNAPSHOT_KEY = "snapshot"
SNAPSHOT_PREFIX = "catalogue/snapshot/"
VERSION_DIGITS = 12


@attrs.frozen
class StoredRecord:
    """Value of a record's row; `touched` is the catalogue version that wrote it."""

    touched: int
    value: object


@attrs.frozen
class AppliedCall:
    """Value of a call's row: the operator's call created catalogue version `version`.

    `digest` is the hash of the requested change, `content` that of the record written.
    """

    version: int
    digest: str
    content: str


def record_key(kind, name):
    """Return the key of a record's row.

    >>> record_key("model", "m")
    'model/m'
    """
    return f"{kind}/{name}"


def log_key(version):
    """Return the key of a version's row in the log; keys sort in the order of versions.

    >>> log_key(7)
    '000000000007'
    """
    return f"{version:0{VERSION_DIGITS}d}"


def snapshot_name(version):
    """Return the object name of the snapshot of `version`."""
    return SNAPSHOT_PREFIX + log_key(version)


def encode_version(version):
    """Return the value of the version row."""
    return str(version).encode()


def decode_version(row):
    """Return the version in the version row, 0 if the row is absent."""
    return int(row.value) if row else 0


def encode_stored(stored):
    """Return the value of a record's row."""
    return msgspec.json.encode(stored)


def decode_stored(row):
    """Return the kind, name and `StoredRecord` of a row; raises msgspec.MsgspecError."""
    kind, _, name = row.key.partition("/")
    raw = msgspec.json.decode(row.value)
    return kind, name, StoredRecord(raw["touched"], to_record(kind, raw["value"]))


def encode_call(call):
    """Return the value of a call's row."""
    return msgspec.json.encode(call)


def decode_call(row):
    """Return the `AppliedCall` in a call's row."""
    return msgspec.json.decode(row.value, type=AppliedCall)
