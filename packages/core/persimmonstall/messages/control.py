"""Control messages between daemons, which concern no single attempt."""

import attrs


@attrs.frozen
class EndpointLoad:
    """Load report of one endpoint by its daemon; units are tokens and seconds.

    `accepted` counts the attempts accepted so far, so that a receiver can tell which of its own
    submissions the report includes.  `prefill_backlog` is the number of prompt tokens left to
    prefill, `long_tokens` those of long prompts among them.  `token_seconds` is the measured
    prefill time for each token.
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
    token_seconds: float = 0.0
    services: tuple[str, ...] = ()


@attrs.frozen
class Hello:
    """First message on a link, sent by both sides.

    `run` identifies the process of the sender; `config_version`, here and in heartbeats, is the
    version of its active catalogue.
    """

    instance: str
    role: str
    data_centre: str
    run: str
    config_version: int
    endpoints: tuple[EndpointLoad, ...] = ()


@attrs.frozen
class Ping:
    """Heartbeat; the reply is a `Pong` with the same sequence number."""

    sequence: int
    config_version: int


@attrs.frozen
class Pong:
    """Reply to a heartbeat, with the loads of the sender's endpoints, if any."""

    sequence: int
    config_version: int
    endpoints: tuple[EndpointLoad, ...] = ()


@attrs.frozen
class Loads:
    """Current loads, sent together with output."""

    endpoints: tuple[EndpointLoad, ...]


@attrs.frozen
class Leaving:
    """The sender no longer accepts new work for these endpoints."""

    endpoints: tuple[str, ...]


@attrs.frozen
class Reserve:
    """Reserve memory on an endpoint for a segment of a long prompt, for `lapse` seconds.

    `renew` extends a reservation, which must not have expired.
    """

    reservation: str
    endpoint: str
    tokens: int
    lapse: float
    renew: bool = False


@attrs.frozen
class Reserved:
    """Reply to `Reserve`; an empty `reason` means that the memory is reserved."""

    reservation: str
    endpoint: str
    reason: str = ""
    retry_after: float = 0.0


@attrs.frozen
class Release:
    """Release a reservation."""

    reservation: str
    endpoint: str


LAST_LIFE = -1
"""Value of `Crash.life` for the latest lifetime, if the reporter does not know its number."""


@attrs.frozen
class Crash:
    """One crash of an endpoint while one content was in flight on it.

    `run` identifies the process of the endpoint's daemon and `life` numbers the lifetimes of the
    endpoint under it.  `attempts` are the content's attempts in flight, `offset` is the number of
    output tokens that it had reached.  `presumed` means that only the link to the daemon was lost.
    """

    endpoint: str
    run: str
    life: int
    attempts: tuple[str, ...] = ()
    offset: int = 0
    presumed: bool = False


@attrs.frozen
class Verdict:
    """Crashes during which the content with a fingerprint was in flight.

    `expires` is in Unix seconds.  `revision` increases whenever the content is cleared of
    suspicion; `cleared` counts the crashes that were discarded for that reason.  Operators' lifts
    of the quarantine are numbered; `lift` is the latest when the verdict was recorded, 0 if none.
    `doubtful` are crashes that other content may have caused, which had no output yet either.
    """

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    expires: float = 0.0
    revision: int = 0
    cleared: int = 0
    lift: int = 0
    doubtful: tuple[Crash, ...] = ()


@attrs.frozen
class Verdicts:
    """Verdicts broadcast between daemons, which works while the table is down."""

    verdicts: tuple[Verdict, ...]


@attrs.frozen
class BudgetRequest:
    """Request by an entry to borrow part of an organisation's budget from the budget's owner.

    `requests` and `tokens` are amounts in addition to what has been lent before; `need` is the
    largest number of tokens that a single request needs.  `slots` is the total number of
    concurrent requests that the entry wants to borrow, of which `held` are in use.
    `returned_requests` and `returned_tokens` were lent but not used.
    """

    organisation: str
    sequence: int
    requests: float = 0.0
    tokens: float = 0.0
    need: float = 0.0
    slots: int = 0
    held: int = 0
    returned_requests: float = 0.0
    returned_tokens: float = 0.0


@attrs.frozen
class BudgetLease:
    """Reply to the `BudgetRequest` with the same sequence number.

    The amounts are added to what the entry has; `slots` is the total lent to it, for `seconds`.
    `retry_after` (seconds) is positive if less was lent than requested.
    """

    organisation: str
    sequence: int
    requests: float = 0.0
    tokens: float = 0.0
    slots: int = 0
    seconds: float = 0.0
    retry_after: float = 0.0


@attrs.frozen
class CatalogueRequest:
    """Ask a peer for the catalogue changes after version `since`."""

    since: int


@attrs.frozen
class CatalogueChanges:
    """Encoded catalogue changes after `since` up to `version`, or a snapshot if `whole`."""

    since: int
    version: int
    whole: bool
    records: tuple[bytes, ...]
