"""`endpoint`, `quarantine`, `daemon`, `status`, `config show` and `watch`."""

from absl import flags

from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from ..client import Client, connection_options, iterate_entries
from ..command import Command
from ..editing import (
    PAGE_SIZE,
    change_report,
    define_edit,
    list_report,
    make_edit,
    send_change,
    with_client,
)
from ..report import Report, name_value_report

ENDPOINT_COLUMNS = (
    "name",
    "instance",
    "data_centre",
    "state",
    "running",
    "waiting",
    "memory_used",
    "memory_total",
    "models",
)
DAEMON_COLUMNS = ("instance", "role", "data_centre", "version", "heard_ago")
QUARANTINE_COLUMNS = ("fingerprint", "crashes", "expires_in", "lifted")
EVENT_COLUMNS = ("version", "kind", "name", "record", "call_id", "at", "gap")


def row_maker(columns):
    """Return a function that makes a row of the fields `columns` of an entry.

    Repeated fields become tuples.
    """

    def row(entry):
        values = (getattr(entry, name) for name in columns)
        return tuple(one if isinstance(one, (str, int, float)) else tuple(one) for one in values)

    return row


def list_handler(call_name, columns):
    """Return the handler that prints the entries of a list call."""

    @with_client
    def handle(invocation, client):
        return list_report(client, call_name, columns, row_maker(columns))

    return handle


def find_entry(client, call_name, field, value):
    """Return the first entry of a list call with `field` equal to `value`.

    Return None if there is none, or the `Failure` of the call.
    """
    for entry in iterate_entries(client, call_name, schema.ListRequest(page_size=PAGE_SIZE)):
        if isinstance(entry, Failure) or getattr(entry, field) == value:
            return entry
    return None


def drain_handler(call_name):
    """Return the handler that drains an endpoint or ends its draining."""

    @with_client
    def handle(invocation, client):
        name = invocation.arguments[0]
        entry = find_entry(client, "ListEndpoints", "name", name)
        if isinstance(entry, Failure):
            return entry
        version = entry.drain_version if entry else 0
        if entry is None and invocation.flags.expected_version is None:
            detail = (
                f"endpoint {name!r} is unknown to the daemon; --expected_version skips this check"
            )
            return Failure(Reason.NOT_FOUND, call_name, client.options.server, detail)
        request = schema.EndpointRequest(name=name, edit=make_edit(invocation, version))
        return change_report(send_change(client, call_name, request))

    return handle


@with_client
def lift(invocation, client):
    """Accept the content with FINGERPRINT again."""
    fingerprint = invocation.arguments[0]
    entry = find_entry(client, "ListQuarantine", "fingerprint", fingerprint)
    if isinstance(entry, Failure):
        return entry
    version = entry.lift_version if entry else 0
    request = schema.LiftQuarantineRequest(
        fingerprint=fingerprint, edit=make_edit(invocation, version)
    )
    return change_report(send_change(client, "LiftQuarantine", request))


@with_client
def show_configuration(invocation, client):
    """Show the settings of the answering daemon."""
    answer = client.call("GetConfiguration", schema.GetConfigurationRequest())
    if isinstance(answer, Failure):
        return answer
    columns = ("section", "option", "value", "unit", "is_default")
    return Report(columns, tuple(map(row_maker(columns), answer.options)))


@with_client
def status(invocation, client):
    """Show the catalogue version, the daemons behind it and the endpoints not live.

    The rows of the list reports are the messages. A daemon that is unreachable, so listed as
    lost, has a negative `heard_ago`.
    """
    version = client.call("GetVersion", schema.GetVersionRequest())
    if isinstance(version, Failure):
        return version
    daemons = list_report(client, "ListDaemons", DAEMON_COLUMNS, lambda one: one)
    endpoints = list_report(client, "ListEndpoints", ENDPOINT_COLUMNS, lambda one: one)
    for answer in (daemons, endpoints):
        if isinstance(answer, Failure):
            return answer
    return name_value_report(
        {
            "instance": version.instance,
            "version": version.version,
            "newest": version.newest,
            "daemons": len(daemons.rows),
            "behind": tuple(one.instance for one in daemons.rows if is_behind(one, version)),
            "lost": tuple(one.instance for one in daemons.rows if one.heard_ago < 0),
            "endpoints": len(endpoints.rows),
            "not_live": tuple(
                f"{one.name}:{one.state}" for one in endpoints.rows if is_not_live(one)
            ),
        }
    )


def is_behind(daemon, version):
    """Return whether a reachable daemon uses a version older than the newest known."""
    return daemon.heard_ago >= 0 and daemon.version < version.newest


def is_not_live(endpoint):
    """Return whether an endpoint accepts no work."""
    return endpoint.state != "live"


def define_watch(values):
    """Define the flags of `watch`."""
    flags.DEFINE_integer(
        "since", 0, "Start after this version; 0 starts with the next change.", flag_values=values
    )


def watch(invocation):
    """Yield a report for every catalogue change as it takes effect."""
    options = connection_options(invocation.flags)
    if isinstance(options, Failure):
        yield options
        return
    with Client(options) as client:
        for event in client.stream("Watch", schema.WatchRequest(since=invocation.flags.since)):
            yield event if isinstance(event, Failure) else event_report(event)


def event_report(event):
    """Return the one-line report of a change."""
    row = row_maker(EVENT_COLUMNS)(event)
    data = dict(zip(EVENT_COLUMNS, row, strict=True))
    if event.gap:
        return Report(
            (), ((f"changes before version {event.version} are no longer available",),), "", data
        )
    text = event.record or "deleted"
    return Report((), ((event.version, event.kind, event.name, text),), "", data)


NAME = ("NAME",)

COMMANDS = (
    Command("status", "Show a summary of versions, daemons and endpoints.", status),
    Command("endpoint list", "List endpoints.", list_handler("ListEndpoints", ENDPOINT_COLUMNS)),
    Command(
        "endpoint drain",
        "Send an endpoint no new work.",
        drain_handler("DrainEndpoint"),
        NAME,
        define_edit,
    ),
    Command(
        "endpoint undrain",
        "Send a drained endpoint work again.",
        drain_handler("UndrainEndpoint"),
        NAME,
        define_edit,
    ),
    Command(
        "quarantine list",
        "List quarantined content.",
        list_handler("ListQuarantine", QUARANTINE_COLUMNS),
    ),
    Command(
        "quarantine lift",
        "Accept quarantined content again.",
        lift,
        ("FINGERPRINT",),
        define_edit,
    ),
    Command(
        "daemon list",
        "List daemons with the catalogue version each one uses.",
        list_handler("ListDaemons", DAEMON_COLUMNS),
    ),
    Command("config show", "Show the daemon's settings.", show_configuration),
    Command("watch", "Print catalogue changes as they take effect.", watch, (), define_watch),
)
