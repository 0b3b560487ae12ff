"""Messages that keep daemons informed of each other."""

import attrs


@attrs.frozen
class EndpointLoad:
    """State of one endpoint as its daemon knows it; tokens and seconds.

    `accepted` counts the work accepted so far, so that a reader can tell which of its own
    submissions the report includes.
    """

    endpoint: str
    running: int
    waiting: int
    memory_used: int
    memory_total: int
    prefill_backlog: int
    step_seconds: float
    accepted: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    leaving: bool = False
    long_tokens: int = 0


@attrs.frozen
class Hello:
    """First message on a link, from either side."""

    instance: str
    role: str
    data_centre: str
    run: str
    config_version: int
    endpoints: tuple[EndpointLoad, ...] = ()


@attrs.frozen
class Ping:
    """Heartbeat; answered by a `Pong` with the same sequence."""

    sequence: int
    config_version: int


@attrs.frozen
class Pong:
    """Answer to a heartbeat, with the loads of the sender's endpoints, if it has any."""

    sequence: int
    config_version: int
    endpoints: tuple[EndpointLoad, ...] = ()


@attrs.frozen
class Loads:
    """Fresh loads, sent in band with answers."""

    endpoints: tuple[EndpointLoad, ...]


@attrs.frozen
class Leaving:
    """The sender accepts no new work for these endpoints from now on."""

    endpoints: tuple[str, ...]


@attrs.frozen
class Reserve:
    """Ask for memory on an endpoint for a segment of a long prompt; lapses by itself."""

    reservation: str
    endpoint: str
    tokens: int
    lapse: float


@attrs.frozen
class Reserved:
    """Answer to `Reserve`; an empty `reason` means granted."""

    reservation: str
    endpoint: str
    reason: str = ""
    retry_after: float = 0.0


@attrs.frozen
class Release:
    """Give a reservation back."""

    reservation: str
    endpoint: str


@attrs.frozen
class Verdict:
    """What is known about a content fingerprint that was in flight at engine crashes."""

    fingerprint: str
    crashes: int
    expires: float
    lifted: bool = False
    revision: int = 0


@attrs.frozen
class Verdicts:
    """Verdicts spread between daemons while the table may be down."""

    verdicts: tuple[Verdict, ...]


@attrs.frozen
class BudgetAsk:
    """An entry asks the keeper of an organisation's budget for a lease.

    `demand` is in requests and tokens per second seen lately; `active` are requests running.
    """

    organisation: str
    requests: float
    tokens: float
    active: int


@attrs.frozen
class BudgetLease:
    """A share of an organisation's limits for `seconds`."""

    organisation: str
    requests: float
    tokens: float
    concurrency: int
    seconds: float


@attrs.frozen
class CatalogueAsk:
    """Ask a peer for the configuration changes after version `since`."""

    since: int


@attrs.frozen
class CatalogueChanges:
    """Encoded configuration changes after `since` up to `version`; `whole`: a snapshot."""

    since: int
    version: int
    whole: bool
    records: tuple[bytes, ...]
