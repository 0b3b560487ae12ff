"""Services that the admin handlers share, and the steps common to all changes."""

import attrs

from persimmonstall.catalogue import validate
from persimmonstall.failures import Failure, Reason

from . import persimmonstall_admin_pb2 as schema

MAX_CALL_ID = 128


@attrs.define
class Administration:
    """`store` writes changes, `follower` has the active catalogue, `view` lists the fleet."""

    settings: object
    context: object
    follower: object
    store: object
    view: object

    def bad_request(self, detail):
        """Return the failure of an invalid request."""
        return Failure(Reason.BAD_REQUEST, "validate", self.settings.daemon.instance, detail)

    def check_edit(self, edit):
        """Return True, or a `Failure` if the call id of a change is missing or invalid."""
        if not 0 < len(edit.call_id) <= MAX_CALL_ID or not edit.call_id.isprintable():
            return self.bad_request(f"call_id must have 1 to {MAX_CALL_ID} printable characters")
        return True

    async def change(self, record, request):
        """Validate and store `record`; return the `Accepted` or a `Failure`."""
        checked = self.check_edit(request.edit) and validate(record, self.follower.current)
        if not checked:
            return checked
        edit = request.edit
        return await self.store.change(
            record, edit.expected_version, edit.call_id, request_fingerprint(request)
        )

    async def delete(self, kind, name, request):
        """Delete a record; return the `Accepted` or a `Failure`."""
        checked = self.check_edit(request.edit)
        if not checked:
            return checked
        edit = request.edit
        return await self.store.delete(
            kind, name, edit.expected_version, edit.call_id, request_fingerprint(request)
        )

    async def read(self, kind, name):
        """Return the `StoredRecord` to change, or a `Failure` if it does not exist."""
        stored = await self.store.read(kind, name)
        if isinstance(stored, Failure) or stored.value is not None:
            return stored
        return self.missing(kind, name)

    def missing(self, kind, name):
        """Return the failure of a call about a record that does not exist."""
        return Failure(Reason.NOT_FOUND, "administration", detail=f"no {kind} {name!r}")


def request_fingerprint(request):
    """Return bytes that identify a request, to tell a repeat from a reused call id."""
    name = request.DESCRIPTOR.full_name.encode()
    return name + b":" + request.SerializeToString(deterministic=True)


def change_response(accepted):
    """Return the response to a change, or the `Failure` unchanged."""
    if not accepted:
        return accepted
    return schema.ChangeResponse(version=accepted.version, repeated=accepted.repeated)
