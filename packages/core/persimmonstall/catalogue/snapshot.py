"""The whole catalogue at one version, and the changes between versions."""

import attrs
import msgspec

from .records import KIND_OF, KINDS, to_record


@attrs.frozen
class Change:
    """The change that creates `version`: it sets record `name` of `kind`, or deletes it (None).

    `call_id` identifies the operator's call, so that a retry is not applied twice; `at` is in
    Unix seconds.
    """

    version: int
    kind: str
    name: str
    value: object = None
    call_id: str = ""
    at: float = 0.0


def encode_change(change):
    """Return `change` as bytes.

    >>> from .records import Model
    >>> decode_change(encode_change(Change(3, "model", "m", Model("m")))).value.version
    '1'
    """
    return msgspec.json.encode(
        (change.version, change.kind, change.name, change.value, change.call_id, change.at)
    )


def decode_change(data):
    """Return the `Change` encoded in `data`; raises msgspec.MsgspecError if malformed."""
    version, kind, name, value, call_id, at = msgspec.json.decode(data)
    return Change(version, kind, name, to_record(kind, value), call_id, at)


@attrs.define
class Catalogue:
    """All records at one version, which never decreases.

    `by_key` maps hashes of API keys to names of organisations; `touched` maps (kind, name) to the
    version that last changed the record.
    """

    version: int = 0
    records: dict = attrs.field(factory=lambda: {kind: {} for kind in KINDS})
    by_key: dict = attrs.field(factory=dict)
    touched: dict = attrs.field(factory=dict)

    def apply(self, change):
        """Apply a `Change`; return False if it is not the next version."""
        if change.version != self.version + 1:
            return False
        self.put(change.kind, change.name, change.value)
        if change.value is None:
            self.touched.pop((change.kind, change.name), None)
        else:
            self.touched[change.kind, change.name] = change.version
        self.version = change.version
        return True

    def put(self, kind, name, value):
        """Set or delete one record and update the index of API keys."""
        records = self.records.setdefault(kind, {})
        old = records.pop(name, None)
        if kind == "organisation" and old:
            for key_hash in old.key_hashes:
                self.by_key.pop(key_hash, None)
        if value is None:
            return
        records[name] = value
        if kind == "organisation":
            for key_hash in value.key_hashes:
                self.by_key[key_hash] = name

    def get(self, kind, name):
        """Return a record or None.

        >>> Catalogue().get("model", "m") is None
        True
        """
        return self.records[kind].get(name)

    def version_of(self, kind, name):
        """Return the version that last changed a record, 0 if there is no such record."""
        return self.touched.get((kind, name), 0)

    def organisation_of(self, key_hash):
        """Return the `Organisation` whose API key has the hash `key_hash`, or None."""
        name = self.by_key.get(key_hash)
        return self.records["organisation"].get(name)

    def dump(self):
        """Return the whole catalogue as bytes, for the object store or a peer."""
        rows = [
            (kind, name, record, self.touched.get((kind, name), 0))
            for kind, records in self.records.items()
            for name, record in sorted(records.items())
        ]
        return msgspec.json.encode((self.version, rows))

    @classmethod
    def load(cls, data):
        """Return the catalogue encoded by `dump`; raises msgspec.MsgspecError if malformed."""
        version, rows = msgspec.json.decode(data)
        catalogue = cls()
        for kind, name, record, touched in rows:
            catalogue.put(kind, name, to_record(kind, record))
            catalogue.touched[kind, name] = touched
        catalogue.version = version
        return catalogue


def kind_of(record):
    """Return the name of a record's kind.

    >>> from .records import Model
    >>> kind_of(Model("m"))
    'model'
    """
    return KIND_OF[type(record)]
