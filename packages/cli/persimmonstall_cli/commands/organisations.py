"""`organisation ...` and `key ...`: customers, their limits and their keys."""

import functools

from absl import flags

from persimmonstall.failures import Failure
from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema

from ..command import Command
from ..editing import change_report, define_edit, list_report, make_edit, send_change, with_client
from ..report import name_value_report

LIST_FIELDS = ("models", "adapters", "services")
COLUMNS = (
    "name",
    "state",
    "requests/s",
    "tokens/s",
    "concurrency",
    "priority",
    "models",
    "keys",
    "version",
)


def define_limits(values):
    """Define the flags of an organisation's limits."""
    define_edit(values)
    flags.DEFINE_float(
        "requests_per_second", None, "Requests a second; 0 for no limit.", flag_values=values
    )
    flags.DEFINE_float(
        "tokens_per_second", None, "Tokens a second; 0 for no limit.", flag_values=values
    )
    flags.DEFINE_integer(
        "concurrency", None, "Requests at a time; 0 for no limit.", flag_values=values
    )
    flags.DEFINE_integer("priority", None, "0 (first) to 9 (last).", flag_values=values)
    for name in LIST_FIELDS:
        flags.DEFINE_list(name, None, f"Allowed {name}, comma separated.", flag_values=values)


def apply_flags(message, values):
    """Set the fields of an organisation whose flags were given."""
    for name in ("requests_per_second", "tokens_per_second", "concurrency", "priority"):
        value = getattr(values, name)
        if value is not None:
            setattr(message, name, value)
    for name in LIST_FIELDS:
        value = getattr(values, name)
        if value is not None:
            getattr(message, name)[:] = value


@with_client
def create(invocation, client):
    """Create organisation NAME with the limits given by flags."""
    message = schema.Organisation(name=invocation.arguments[0], priority=5)
    apply_flags(message, invocation.flags)
    request = schema.SetOrganisationRequest(organisation=message, edit=make_edit(invocation, 0))
    return change_report(send_change(client, "CreateOrganisation", request))


def with_organisation(handler):
    """Decorate a `handler(invocation, client, entry)`.

    `entry` is the entry of the organisation that the first argument names; a `Failure` to get it
    is returned without calling the handler.
    """

    @with_client
    @functools.wraps(handler)
    def handle(invocation, client):
        name = invocation.arguments[0]
        entry = client.call("GetOrganisation", schema.GetRequest(name=name))
        return entry if isinstance(entry, Failure) else handler(invocation, client, entry)

    return handle


@with_organisation
def change(invocation, client, entry):
    """Change the limits given by flags and keep the others."""
    apply_flags(entry.organisation, invocation.flags)
    edit = make_edit(invocation, entry.version)
    request = schema.SetOrganisationRequest(organisation=entry.organisation, edit=edit)
    return change_report(send_change(client, "ChangeOrganisation", request))


def suspend_handler(suspended):
    """Return the handler that suspends an organisation or resumes it."""

    @with_organisation
    def handle(invocation, client, entry):
        request = schema.SuspendOrganisationRequest(
            name=invocation.arguments[0],
            suspended=suspended,
            edit=make_edit(invocation, entry.version),
        )
        return change_report(send_change(client, "SuspendOrganisation", request))

    return handle


@with_organisation
def delete(invocation, client, entry):
    """Delete organisation NAME and its keys."""
    request = schema.DeleteRequest(
        name=invocation.arguments[0], edit=make_edit(invocation, entry.version)
    )
    return change_report(send_change(client, "DeleteOrganisation", request))


@with_organisation
def show(invocation, client, entry):
    """Show organisation NAME."""
    return name_value_report(dict(zip(COLUMNS, row(entry), strict=True)))


@with_client
def list_organisations(invocation, client):
    """List all organisations."""
    return list_report(client, "ListOrganisations", COLUMNS, row)


def row(entry):
    """Return the table row of an organisation."""
    organisation = entry.organisation
    return (
        organisation.name,
        "suspended" if organisation.suspended else "active",
        organisation.requests_per_second,
        organisation.tokens_per_second,
        organisation.concurrency,
        organisation.priority,
        tuple(organisation.models) or ("all",),
        tuple(entry.key_ids),
        entry.version,
    )


def key_handler(call_name):
    """Return the handler that creates a key with the call `call_name`."""

    @with_organisation
    def handle(invocation, client, entry):
        request = schema.KeyRequest(
            organisation=invocation.arguments[0], edit=make_edit(invocation, entry.version)
        )
        return key_report(send_change(client, call_name, request))

    return handle


def key_report(answer):
    """Return the report of a new key, or a `Failure`."""
    if isinstance(answer, Failure):
        return answer
    note = "The key is shown only now; the catalogue stores its hash."
    if answer.repeated:
        note = "The key was created by an earlier call whose answer was lost: rotate the key."
    return name_value_report(
        {"key": answer.key, "key_id": answer.key_id, "version": answer.version}, note
    )


@with_organisation
def revoke(invocation, client, entry):
    """Revoke the key KEY_ID of ORGANISATION."""
    organisation, key_id = invocation.arguments
    request = schema.RevokeKeyRequest(
        organisation=organisation, key_id=key_id, edit=make_edit(invocation, entry.version)
    )
    return change_report(send_change(client, "RevokeKey", request))


NAME = ("NAME",)

COMMANDS = (
    Command("organisation create", "Create an organisation.", create, NAME, define_limits),
    Command(
        "organisation change", "Change an organisation's limits.", change, NAME, define_limits
    ),
    Command(
        "organisation suspend",
        "Refuse an organisation's requests.",
        suspend_handler(True),
        NAME,
        define_edit,
    ),
    Command(
        "organisation resume",
        "Accept its requests again.",
        suspend_handler(False),
        NAME,
        define_edit,
    ),
    Command(
        "organisation delete", "Delete an organisation and its keys.", delete, NAME, define_edit
    ),
    Command("organisation show", "Show one organisation.", show, NAME),
    Command("organisation list", "List all organisations.", list_organisations),
    Command(
        "key create",
        "Add a key to an organisation.",
        key_handler("CreateKey"),
        ("ORGANISATION",),
        define_edit,
    ),
    Command(
        "key rotate",
        "Replace all keys by a new one.",
        key_handler("RotateKey"),
        ("ORGANISATION",),
        define_edit,
    ),
    Command("key revoke", "Revoke a key.", revoke, ("ORGANISATION", "KEY_ID"), define_edit),
)
