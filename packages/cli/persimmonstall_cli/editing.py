"""Shared code of the commands that list or change records."""

import functools
import uuid

from absl import flags

from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from .client import Client, connection_options, iterate_entries
from .report import Report, name_value_report

PAGE_SIZE = 500
RETRYABLE_REASONS = (Reason.AMBIGUOUS, Reason.PEER_LOST)
"""Reasons after which a change is retried with the same call id."""
CONCLUSIVE_REASONS = (Reason.CONFLICT, Reason.KEY_CONFLICT)
"""Reasons that show that no attempt with this call id has made the change."""

MAX_ATTEMPTS = 3


def define_edit(values):
    """Define the flags that every command which changes a record takes."""
    flags.DEFINE_integer(
        "expected_version",
        None,
        "Change only if the record is at this version; default: the version just read.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "call_id",
        None,
        "Id of the call; a call repeated with the same id is applied once.",
        flag_values=values,
    )


def with_client(handler):
    """Decorate a `handler(invocation, client)`: open the client for the flags and pass it on."""

    @functools.wraps(handler)
    def run(invocation):
        options = connection_options(invocation.flags)
        if isinstance(options, Failure):
            return options
        with Client(options) as client:
            return handler(invocation, client)

    return run


def make_edit(invocation, version):
    """Return the `Edit` for a record read at `version`; --expected_version overrides it."""
    expected = invocation.flags.expected_version
    return schema.Edit(
        expected_version=version if expected is None else expected,
        call_id=invocation.flags.call_id or uuid.uuid4().hex,
    )


def send_change(client, name, request):
    """Send a change and return its response or a `Failure`; retries use the same call id.

    The daemon applies a call id once, so a retry after a lost response is safe.  Once an attempt
    may have made the change, later failures leave its outcome unknown, except for a conflict.
    """
    unknown = False
    for _ in range(MAX_ATTEMPTS):
        answer = client.change(name, request)
        if not isinstance(answer, Failure) or answer.reason in CONCLUSIVE_REASONS:
            return answer
        unknown = unknown or answer.reason is Reason.AMBIGUOUS
        if answer.reason not in RETRYABLE_REASONS:
            break
    if not unknown and answer.reason not in RETRYABLE_REASONS:
        return answer
    reason = Reason.AMBIGUOUS if unknown else answer.reason
    detail = f"{answer.detail}; repeat it with --call_id={request.edit.call_id}"
    return Failure(reason, answer.step, answer.peer, detail)


def change_report(answer):
    """Return the report of a change, or the `Failure` of its call."""
    if isinstance(answer, Failure):
        return answer
    return name_value_report({"version": answer.version, "repeated": answer.repeated})


def list_report(client, name, columns, row):
    """Return the report of all pages of a list call, or a `Failure`.

    `row(entry)` returns the cells of one entry.
    """
    rows = []
    for entry in iterate_entries(client, name, schema.ListRequest(page_size=PAGE_SIZE)):
        if isinstance(entry, Failure):
            return entry
        rows.append(row(entry))
    return Report(columns, tuple(rows))
