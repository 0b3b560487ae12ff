"""`model`, `adapter`, `service` and `placement`: set, delete, show and list records."""

import attrs
from absl import flags

from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from ..command import Command
from ..editing import change_report, define_edit, list_report, make_edit, send_change, with_client
from ..report import name_value_report


@attrs.frozen
class RecordKind:
    """A kind of record: its messages, its flags and the defaults of a new record.

    `flags` maps the name of a flag to the absl function that defines it and its help text.
    """

    name: str
    message: object
    request: object
    flags: dict
    defaults: dict = attrs.field(factory=dict)

    @property
    def title(self):
        """Name of the kind in the names of the RPCs."""
        return self.name.capitalize()

    @property
    def columns(self):
        """Columns of the kind's table."""
        return ("name", *self.flags, "version")


KINDS = (
    RecordKind(
        "model",
        schema.Model,
        schema.SetModelRequest,
        {
            "model_version": (
                flags.DEFINE_string,
                "Version of the weights; a change starts a rollout.",
            ),
            "context_tokens": (
                flags.DEFINE_integer,
                "Maximum number of prompt and output tokens.",
            ),
            "max_output_tokens": (flags.DEFINE_integer, "Maximum number of output tokens."),
        },
        {"version": "1", "context_tokens": 1_100_000, "max_output_tokens": 32_768},
    ),
    RecordKind(
        "adapter",
        schema.Adapter,
        schema.SetAdapterRequest,
        {
            "model": (flags.DEFINE_string, "Model that the adapter belongs to."),
            "adapter_version": (flags.DEFINE_string, "Version of the adapter."),
        },
        {"version": "1"},
    ),
    RecordKind(
        "service",
        schema.Service,
        schema.SetServiceRequest,
        {"non_idempotent": (flags.DEFINE_list, "Methods that are executed at most once.")},
    ),
    RecordKind(
        "placement",
        schema.Placement,
        schema.SetPlacementRequest,
        {
            "models": (flags.DEFINE_list, "Models that the endpoint serves."),
            "adapters": (flags.DEFINE_list, "Adapters that the endpoint serves."),
            "role": (flags.DEFINE_string, "Role of the endpoint: mixed, prefill or decode."),
            "fence_checked": (
                flags.DEFINE_boolean,
                "Whether the endpoint rejects orders with an outdated fencing number.",
            ),
        },
        {"role": "mixed", "fence_checked": True},
    ),
)


def field_of(flag):
    """Return the name of the message field that a flag sets.

    >>> field_of("model_version"), field_of("role")
    ('version', 'role')
    """
    return "version" if flag.endswith("_version") else flag


def flag_definer(kind):
    """Return a function that defines the flags of the `set` command of a kind."""

    def define_flags(values):
        define_edit(values)
        for name, (define_flag, description) in kind.flags.items():
            define_flag(name, None, description, flag_values=values)

    return define_flags


def set_handler(kind):
    """Return the handler that creates or changes a record."""

    @with_client
    def handle(invocation, client):
        name = invocation.arguments[0]
        message, version = read_current(kind, client, name)
        if isinstance(message, Failure):
            return message
        apply_flags(kind, message, invocation.flags)
        request = kind.request(**{kind.name: message}, edit=make_edit(invocation, version))
        return change_report(send_change(client, f"Set{kind.title}", request))

    return handle


def read_current(kind, client, name):
    """Return a record's message and version, or the defaults and 0 if it does not exist.

    On any other error, return the `Failure` and 0.
    """
    entry = client.call(f"Get{kind.title}", schema.GetRequest(name=name))
    if not isinstance(entry, Failure):
        return getattr(entry, kind.name), entry.version
    if entry.reason is Reason.NOT_FOUND:
        return kind.message(name=name, **kind.defaults), 0
    return entry, 0


def apply_flags(kind, message, values):
    """Set the fields of a record whose flags were given."""
    for flag in kind.flags:
        value = getattr(values, flag)
        if isinstance(value, list):
            getattr(message, field_of(flag))[:] = value
        elif value is not None:
            setattr(message, field_of(flag), value)


def delete_handler(kind):
    """Return the handler that deletes a record."""

    @with_client
    def handle(invocation, client):
        name = invocation.arguments[0]
        entry = client.call(f"Get{kind.title}", schema.GetRequest(name=name))
        if isinstance(entry, Failure):
            return entry
        request = schema.DeleteRequest(name=name, edit=make_edit(invocation, entry.version))
        return change_report(send_change(client, f"Delete{kind.title}", request))

    return handle


def show_handler(kind):
    """Return the handler that shows a record."""

    @with_client
    def handle(invocation, client):
        entry = client.call(f"Get{kind.title}", schema.GetRequest(name=invocation.arguments[0]))
        if isinstance(entry, Failure):
            return entry
        return name_value_report(dict(zip(kind.columns, row(kind, entry), strict=True)))

    return handle


def list_handler(kind):
    """Return the handler that lists the records of a kind."""

    @with_client
    def handle(invocation, client):
        return list_report(client, f"List{kind.title}s", kind.columns, lambda one: row(kind, one))

    return handle


def row(kind, entry):
    """Return the table row of a record."""
    message = getattr(entry, kind.name)
    values = (getattr(message, field_of(flag)) for flag in kind.flags)
    return (message.name, *map(report_value, values), entry.version)


def report_value(value):
    """Return a field's value for a report: repeated fields become tuples."""
    return value if isinstance(value, (str, int, float, bool)) else tuple(value)


def commands(kind):
    """Return the commands of one kind."""
    name = ("NAME",)
    return (
        Command(
            f"{kind.name} set",
            "Create or change the record NAME.",
            set_handler(kind),
            name,
            flag_definer(kind),
        ),
        Command(
            f"{kind.name} delete",
            "Delete the record NAME.",
            delete_handler(kind),
            name,
            define_edit,
        ),
        Command(f"{kind.name} show", "Show the record NAME.", show_handler(kind), name),
        Command(f"{kind.name} list", f"List all {kind.name}s.", list_handler(kind)),
    )


COMMANDS = tuple(command for kind in KINDS for command in commands(kind))
