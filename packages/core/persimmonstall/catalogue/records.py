"""Records of the catalogue; a record is identified by its kind and name."""

import attrs
import msgspec


@attrs.frozen
class Organisation:
    """A customer with its permissions and limits.

    `key_hashes` are SHA-256 hashes (hex) of its API keys.  A limit of 0 means no limit.
    `priority` is from 0 (served first) to 9.  An empty `models` allows every model.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    suspended: bool = False
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    concurrency: int = 0
    priority: int = 5
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """A model that engines can serve; `context_tokens` limits prompt and output together."""

    name: str
    version: str = "1"
    context_tokens: int = 1_100_000
    max_output_tokens: int = 32_768


@attrs.frozen
class Adapter:
    """An adapter: a small set of weights that is applied on top of a model."""

    name: str
    model: str
    version: str = "1"


@attrs.frozen
class Service:
    """A plain service; calls of `non_idempotent` methods run at most once."""

    name: str
    non_idempotent: tuple[str, ...] = ()


@attrs.frozen
class Placement:
    """Desired state of one endpoint: models, adapters and role.

    `fence_checked` means that the endpoint refuses orders with an outdated fencing number.
    """

    name: str
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    fence_checked: bool = True


@attrs.frozen
class DrainMark:
    """Marks an endpoint or instance, by name, that gets no new work."""

    name: str


@attrs.frozen
class QuarantineLift:
    """Lifts the quarantine of the content whose fingerprint is the name."""

    name: str
    revision: int = 0


KINDS = {
    "organisation": Organisation,
    "model": Model,
    "adapter": Adapter,
    "service": Service,
    "placement": Placement,
    "drain": DrainMark,
    "lift": QuarantineLift,
}
"""Record class of each kind; the kind's name is stored in the table and in changes."""

KIND_OF = {record_class: kind for kind, record_class in KINDS.items()}


def to_record(kind, value):
    """Return the record of `kind` for a decoded `value`.

    The value of an unknown kind, which a newer release has written, is returned unchanged so that
    it can be passed on.  Raises msgspec.ValidationError if the value is not valid for its kind.

    >>> to_record("model", {"name": "m"}).version
    '1'
    >>> to_record("later", {"name": "x"})
    {'name': 'x'}
    """
    record_class = KINDS.get(kind)
    return msgspec.convert(value, record_class) if record_class and value is not None else value
