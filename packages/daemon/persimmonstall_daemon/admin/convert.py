"""Conversion between catalogue records and the protobuf messages of the admin API."""

import attrs

from persimmonstall import catalogue

from . import persimmonstall_admin_pb2 as schema

MESSAGES = {
    "organisation": schema.Organisation,
    "model": schema.Model,
    "adapter": schema.Adapter,
    "service": schema.Service,
    "placement": schema.Placement,
}
"""Message type of each kind of record that operators write."""

RECORDS = {
    "organisation": catalogue.Organisation,
    "model": catalogue.Model,
    "adapter": catalogue.Adapter,
    "service": catalogue.Service,
    "placement": catalogue.Placement,
}

ENTRIES = {
    "organisation": schema.OrganisationEntry,
    "model": schema.ModelEntry,
    "adapter": schema.AdapterEntry,
    "service": schema.ServiceEntry,
    "placement": schema.PlacementEntry,
}

PAGES = {
    "organisation": schema.ListOrganisationsResponse,
    "model": schema.ListModelsResponse,
    "adapter": schema.ListAdaptersResponse,
    "service": schema.ListServicesResponse,
    "placement": schema.ListPlacementsResponse,
}

KEY_ID_CHARACTERS = 12


def key_id(key_hash):
    """Return the identifier of a key, a prefix of its hash.

    >>> key_id("0123456789abcdef")
    '0123456789ab'
    """
    return key_hash[:KEY_ID_CHARACTERS]


def shared_fields(kind):
    """Return the names of the fields that the record and the message of `kind` share."""
    known = MESSAGES[kind].DESCRIPTOR.fields_by_name
    return [field.name for field in attrs.fields(RECORDS[kind]) if field.name in known]


def to_record(kind, message, **extra):
    """Return the record with the fields of a message of `kind` and of `extra`."""
    values = {name: getattr(message, name) for name in shared_fields(kind)}
    lists = {name: tuple(value) for name, value in values.items() if is_list(kind, name)}
    return RECORDS[kind](**{**values, **lists, **extra})


def is_list(kind, name):
    """Return whether a field of the message of `kind` is repeated."""
    return MESSAGES[kind].DESCRIPTOR.fields_by_name[name].is_repeated


def to_message(kind, record):
    """Return the message for a record."""
    return MESSAGES[kind](**{name: getattr(record, name) for name in shared_fields(kind)})


def to_entry(kind, record, version):
    """Return the list entry of a record; `version` is the one that last changed it."""
    entry = ENTRIES[kind](**{kind: to_message(kind, record)}, version=version)
    if kind == "organisation":
        entry.key_ids.extend(map(key_id, record.key_hashes))
    return entry
