"""What the administration's handlers share, and the steps common to all changes."""

import attrs

from persimmonstall.catalogue import validate
from persimmonstall.failures import Failure, Reason

from . import persimmonstall_admin_pb2 as schema

MAX_CALL_ID = 128


@attrs.define
class Administration:
    """`store` writes, `follower` holds what is in force, `view` shows the fleet."""

    settings: object
    context: object
    follower: object
    store: object
    view: object

    def bad_request(self, detail):
        """Return the failure of a request that is wrong."""
        return Failure(Reason.BAD_REQUEST, "validate", self.settings.daemon.instance, detail)

    def check_edit(self, edit):
        """Return True, or a `Failure` when a change lacks its call id."""
        if not 0 < len(edit.call_id) <= MAX_CALL_ID or not edit.call_id.isprintable():
            return self.bad_request(f"call_id must have 1 to {MAX_CALL_ID} characters")
        return True

    async def change(self, record, request):
        """Set `record` as `request` asks; return the `Accepted` or a `Failure`."""
        checked = self.check_edit(request.edit) and validate(record, self.follower.current)
        if not checked:
            return checked
        edit = request.edit
        return await self.store.change(
            record, edit.expected_version, edit.call_id, fingerprint(request)
        )

    async def delete(self, kind, name, request):
        """Delete a record as `request` asks; return the `Accepted` or a `Failure`."""
        checked = self.check_edit(request.edit)
        if not checked:
            return checked
        edit = request.edit
        return await self.store.delete(
            kind, name, edit.expected_version, edit.call_id, fingerprint(request)
        )

    async def read(self, kind, name):
        """Return the `StoredRecord` record to change, or a `Failure` when there is none."""
        stored = await self.store.read(kind, name)
        if isinstance(stored, Failure) or stored.value is not None:
            return stored
        return self.missing(kind, name)

    def missing(self, kind, name):
        """Return the failure for a record that does not exist."""
        return Failure(Reason.NOT_FOUND, "administration", detail=f"no {kind} {name!r}")


def fingerprint(request):
    """Return bytes that are the same for a repeat of the same request only."""
    name = request.DESCRIPTOR.full_name.encode()
    return name + b":" + request.SerializeToString(deterministic=True)


def change_response(accepted):
    """Return the answer to a change, or the `Failure` itself."""
    if not accepted:
        return accepted
    return schema.ChangeResponse(version=accepted.version, repeated=accepted.repeated)
