"""Calls about endpoints, quarantine, daemons and the answering daemon's settings."""

from collections import defaultdict

import attrs

from persimmonstall.catalogue import DrainMark, QuarantineLift

from . import persimmonstall_admin_pb2 as schema
from .paging import page_of
from .state import change_response

LOAD_FIELDS = ("running", "waiting", "memory_used", "memory_total", "models", "adapters")


async def list_endpoints(state, request):
    """List the endpoints that this daemon knows, with their latest load."""
    seen = {one.name: one for one in state.view.endpoints()}
    page = page_of(seen, request)
    entries = [endpoint_message(state, seen[name]) for name in page.names]
    return schema.ListEndpointsResponse(entries=entries, next_page_token=page.token)


def endpoint_message(state, seen):
    """Return the message of a `EndpointStatus`."""
    load = {name: getattr(seen.load, name) for name in LOAD_FIELDS} if seen.load else {}
    return schema.Endpoint(
        name=seen.name,
        instance=seen.instance,
        data_centre=seen.data_centre,
        state=seen.state,
        drain_version=state.follower.current.version_of("drain", seen.name),
        **load,
    )


async def drain(state, request):
    """Give an endpoint no new work."""
    return change_response(await state.change(DrainMark(request.name), request))


async def undrain(state, request):
    """Give a drained endpoint work again."""
    return change_response(await state.delete("drain", request.name, request))


async def list_quarantine(state, request):
    """List the fingerprints that this daemon refuses."""
    seen = {one.fingerprint: one for one in state.view.verdicts()}
    page = page_of(seen, request)
    entries = [verdict_message(state, seen[name]) for name in page.names]
    return schema.ListQuarantineResponse(entries=entries, next_page_token=page.token)


def verdict_message(state, seen):
    """Return the message of a `QuarantineStatus`."""
    version = state.follower.current.version_of("lift", seen.fingerprint)
    return schema.Quarantined(**attrs.asdict(seen), lift_version=version)


async def lift(state, request):
    """Refuse a fingerprint no longer, until it crashes endpoints again."""
    revision = request.edit.expected_version + 1
    record = QuarantineLift(request.fingerprint, revision)
    return change_response(await state.change(record, request))


async def list_daemons(state, request):
    """List the daemons that this one knows and the version in force in each."""
    seen = {one.instance: one for one in await state.view.daemons()}
    page = page_of(seen, request)
    entries = [schema.DaemonState(**attrs.asdict(seen[name])) for name in page.names]
    return schema.ListDaemonsResponse(entries=entries, next_page_token=page.token)


async def list_burn(state, request):
    """List the burn counts of this daemon, whole organisations at a time."""
    by_name = defaultdict(list)
    for row in state.view.burn():
        by_name[row.organisation].append(row)
    page = page_of(by_name, request)
    entries = [burn_message(row) for name in page.names for row in by_name[name]]
    instance = state.settings.daemon.instance
    return schema.ListBurnResponse(entries=entries, next_page_token=page.token, instance=instance)


def burn_message(row):
    """Return the message of a `BurnRow`."""
    windows = [schema.BurnWindow(**attrs.asdict(window)) for window in row.windows]
    return schema.BurnEntry(
        organisation=row.organisation,
        length_class=row.length_class,
        objective=row.objective,
        target=row.target,
        windows=windows,
    )


async def get_version(state, request):
    """Return the version in force here and the newest heard of."""
    return schema.GetVersionResponse(
        version=state.follower.version,
        newest=state.follower.sync_state.newest_known,
        instance=state.settings.daemon.instance,
    )


async def get_configuration(state, request):
    """Return every option of this daemon's settings."""
    options = [
        option_message(section.name, option, getattr(state.settings, section.name))
        for section in attrs.fields(type(state.settings))
        for option in attrs.fields(type(getattr(state.settings, section.name)))
    ]
    instance = state.settings.daemon.instance
    return schema.GetConfigurationResponse(instance=instance, options=options)


def option_message(section, option, values):
    """Return one option's value, unit and whether it is the default."""
    value = getattr(values, option.name)
    text = ", ".join(value) if isinstance(value, tuple) else str(value)
    return schema.ConfiguredOption(
        section=section,
        option=option.name,
        value=text,
        unit=option.metadata["unit"],
        is_default=value == option.default,
    )


HANDLERS = {
    "GetVersion": get_version,
    "ListEndpoints": list_endpoints,
    "DrainEndpoint": drain,
    "UndrainEndpoint": undrain,
    "ListQuarantine": list_quarantine,
    "LiftQuarantine": lift,
    "ListDaemons": list_daemons,
    "ListBurn": list_burn,
    "GetConfiguration": get_configuration,
}
