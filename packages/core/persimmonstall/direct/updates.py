"""What an entry learns of configuration and endpoints, from the directory or another entry."""

import attrs

from .messages import Configuration, Endpoint


@attrs.frozen
class ConfigurationUpdate:
    """A configuration; `revision` orders all writes to the directory."""

    configuration: Configuration
    revision: int = 0


@attrs.frozen
class EndpointChange:
    """An endpoint's newest state, None when its entry is gone or names nothing usable."""

    name: str
    endpoint: Endpoint | None = None


@attrs.frozen
class EndpointUpdate:
    """Changes of endpoints up to `revision`; `whole` when they are all that there is."""

    changes: tuple[EndpointChange, ...]
    revision: int
    whole: bool = False


@attrs.frozen
class ReachabilityUpdate:
    """Whether the directory answers this entry; `detail` says how it failed."""

    reachable: bool
    detail: str = ""
