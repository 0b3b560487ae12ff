"""Admin calls that are the same for every kind of record: set, delete, get and list."""

from persimmonstall.failures import Failure

from .convert import PAGES, to_entry, to_record
from .paging import paginate
from .state import change_response

PLAIN_KINDS = ("model", "adapter", "service", "placement")
"""Kinds whose records are stored exactly as the operator sent them."""


def set_handler(kind):
    """Return the handler that sets a record of `kind`."""

    async def handle(state, request):
        record = to_record(kind, getattr(request, kind))
        return change_response(await state.change(record, request))

    return handle


def delete_handler(kind):
    """Return the handler that deletes a record of `kind`."""

    async def handle(state, request):
        return change_response(await state.delete(kind, request.name, request))

    return handle


def get_handler(kind):
    """Return the handler that reads one record from the table.

    If the table fails, it returns the record that is active in this daemon.
    """

    async def handle(state, request):
        stored = await state.store.read(kind, request.name)
        if isinstance(stored, Failure):
            return active_entry(state, kind, request.name)
        if stored.value is None:
            return state.missing(kind, request.name)
        return to_entry(kind, stored.value, stored.touched)

    return handle


def active_entry(state, kind, name):
    """Return the entry of a record as it is active in this daemon."""
    catalogue = state.follower.current
    record = catalogue.get(kind, name)
    if record is None:
        return state.missing(kind, name)
    return to_entry(kind, record, catalogue.version_of(kind, name))


def list_handler(kind):
    """Return the handler that lists the records of `kind` active in this daemon."""

    async def handle(state, request):
        page = paginate(state.follower.current.records[kind], request)
        entries = [active_entry(state, kind, name) for name in page.names]
        return PAGES[kind](entries=entries, next_page_token=page.token)

    return handle


def handlers():
    """Return the handlers by call name."""
    by_call = {}
    for kind in (*PLAIN_KINDS, "organisation"):
        title = kind.capitalize()
        by_call[f"Delete{title}"] = delete_handler(kind)
        by_call[f"Get{title}"] = get_handler(kind)
        by_call[f"List{title}s"] = list_handler(kind)
    for kind in PLAIN_KINDS:
        by_call[f"Set{kind.capitalize()}"] = set_handler(kind)
    return by_call
