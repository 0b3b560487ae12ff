"""Admin calls that change organisations and their API keys."""

import secrets

import attrs

from persimmonstall.failures import Failure, Reason

from . import persimmonstall_admin_pb2 as schema
from .convert import key_id, to_record
from .operators import hash_key
from .state import change_response

KEY_PREFIX = "ps-"
KEY_BYTES = 32


async def create(state, request):
    """Create an organisation without keys."""
    if request.edit.expected_version:
        return state.bad_request("expected_version must be 0 when creating an organisation")
    record = to_record("organisation", request.organisation)
    return change_response(await state.change(record, request))


async def change(state, request):
    """Replace the fields of an organisation except its keys."""
    if not request.edit.expected_version:
        return state.bad_request(
            "expected_version must be the version of the organisation that was read"
        )
    stored = await state.read("organisation", request.organisation.name)
    if isinstance(stored, Failure):
        return stored
    hashes = stored.value.key_hashes
    record = to_record("organisation", request.organisation, key_hashes=hashes)
    return change_response(await state.change(record, request))


async def suspend(state, request):
    """Suspend an organisation or end its suspension."""
    stored = await state.read("organisation", request.name)
    if isinstance(stored, Failure):
        return stored
    record = attrs.evolve(stored.value, suspended=request.suspended)
    return change_response(await state.change(record, request))


async def create_key(state, request):
    """Add a key to an organisation and return it; only its hash is stored."""
    return await issue_key(state, request, keep_others=True)


async def rotate_key(state, request):
    """Replace all keys of an organisation by a new one and return it."""
    return await issue_key(state, request, keep_others=False)


async def issue_key(state, request, keep_others):
    """Generate a key; `keep_others` says whether the organisation keeps its other keys.

    A repeat of an earlier call cannot return the key again, since only its hash is stored.
    """
    stored = await state.read("organisation", request.organisation)
    if isinstance(stored, Failure):
        return stored
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    kept = stored.value.key_hashes if keep_others else ()
    record = attrs.evolve(stored.value, key_hashes=(*kept, hash_key(key)))
    accepted = await state.change(record, request)
    if not accepted:
        return accepted
    if accepted.repeated and not accepted.own:
        return schema.KeyResponse(version=accepted.version, repeated=True)
    return schema.KeyResponse(version=accepted.version, key=key, key_id=key_id(hash_key(key)))


async def revoke_key(state, request):
    """Remove one key of an organisation."""
    stored = await state.read("organisation", request.organisation)
    if isinstance(stored, Failure):
        return stored
    hashes = stored.value.key_hashes
    kept = tuple(one for one in hashes if key_id(one) != request.key_id)
    if len(kept) == len(hashes) and stored.touched == request.edit.expected_version:
        detail = f"{request.organisation} has no key {request.key_id!r}"
        return Failure(Reason.NOT_FOUND, "administration", detail=detail)
    record = attrs.evolve(stored.value, key_hashes=kept)
    return change_response(await state.change(record, request))


HANDLERS = {
    "CreateOrganisation": create,
    "ChangeOrganisation": change,
    "SuspendOrganisation": suspend,
    "CreateKey": create_key,
    "RotateKey": rotate_key,
    "RevokeKey": revoke_key,
}
