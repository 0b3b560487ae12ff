"""Steps that the commands which change records share."""

import functools
import uuid

from absl import flags

from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from .client import Client, access_of, pages
from .report import Report, fields

PAGE_SIZE = 500
RETRIED = (Reason.AMBIGUOUS, Reason.PEER_LOST)
"""Reasons after which a change is sent again under its call id."""
MAX_SENDS = 3


def define_edit(values):
    """Define the flags of every change."""
    flags.DEFINE_integer(
        "expected_version",
        None,
        "Change only if the record is at this version; by default at the one read first.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "call_id", None, "Id of the call; the same one repeats a call safely.", flag_values=values
    )


def connected(handler):
    """Make a handler of (call, client) one of (call)."""

    @functools.wraps(handler)
    def run(call):
        access = access_of(call.flags)
        if isinstance(access, Failure):
            return access
        with Client(access) as client:
            return handler(call, client)

    return run


def edit_of(call, version):
    """Return the `Edit` of a change to a record that was read at `version`."""
    expected = call.flags.expected_version
    return schema.Edit(
        expected_version=version if expected is None else expected,
        call_id=call.flags.call_id or uuid.uuid4().hex,
    )


def send(client, name, request):
    """Send a change; a lost answer is asked for again under the same call id."""
    for _ in range(MAX_SENDS):
        answer = client.call(name, request)
        if not isinstance(answer, Failure) or answer.reason not in RETRIED:
            return answer
    detail = f"{answer.detail}; repeat it with --call_id={request.edit.call_id}"
    return Failure(answer.reason, answer.step, answer.peer, detail)


def changed(answer):
    """Return the report of a change, or its `Failure`."""
    if isinstance(answer, Failure):
        return answer
    return fields({"version": answer.version, "repeated": answer.repeated})


def table(client, name, columns, row):
    """Return the report of a whole list call; `row(entry)` gives the cells of an entry."""
    rows = []
    for entry in pages(client, name, schema.ListRequest(page_size=PAGE_SIZE)):
        if isinstance(entry, Failure):
            return entry
        rows.append(row(entry))
    return Report(columns, tuple(rows))
