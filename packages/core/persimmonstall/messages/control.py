"""Messages that keep daemons informed of each other."""

import attrs


@attrs.frozen
class EndpointLoad:
    """State of one endpoint as its daemon knows it; tokens and seconds.

    `accepted` counts the work accepted so far, so that a reader can tell which of its own
    submissions the report includes.  `token_seconds` is the measured time of one prompt token.
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
    """Ask for memory on an endpoint for a segment of a long prompt; lapses by itself.

    `renew` puts off the lapse of a reservation that must still be there.
    """

    reservation: str
    endpoint: str
    tokens: int
    lapse: float
    renew: bool = False


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


LAST_LIFE = -1
"""Stands for the last life of an endpoint, whose number the reporter does not know."""


@attrs.frozen
class Crash:
    """One crash of an endpoint, as far as it concerns one content.

    `run` identifies the process of the endpoint's daemon and `life` numbers the endpoint's
    lives under it.  `attempts` are the attempts of the content that were in flight, `offset`
    the output tokens that it had reached.  `presumed`: only the link to the daemon was lost.
    """

    endpoint: str
    run: str
    life: int
    attempts: tuple[str, ...] = ()
    offset: int = 0
    presumed: bool = False


@attrs.frozen
class Verdict:
    """What is known about a content fingerprint that was in flight at crashes.

    `expires` is in Unix seconds.  `revision` grows whenever a suspicion is cleared; `cleared`
    counts the crashes voided that way.  `lift` is the operators' lift it was recorded under.
    """

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    expires: float = 0.0
    revision: int = 0
    cleared: int = 0
    lift: int = 0


@attrs.frozen
class Verdicts:
    """Verdicts spread between daemons while the table may be down."""

    verdicts: tuple[Verdict, ...]


@attrs.frozen
class BudgetRequest:
    """An entry asks the keeper of an organisation's budget for requests, tokens and slots.

    `requests` and `tokens` are amounts to be lent on top of what was lent before; `need` is the
    largest single amount of tokens among them.  `slots` is the number of concurrent requests
    that the entry wants to be lent in all, of which `held` are in use.  The returned amounts
    were lent and not used.
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
    """Answer to the `BudgetRequest` with the same sequence.

    The amounts add to what the entry has; `slots` is what it is lent in all, for `seconds`.
    `retry_after` (seconds) is positive when less was lent than asked.
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
    """Ask a peer for the configuration changes after version `since`."""

    since: int


@attrs.frozen
class CatalogueChanges:
    """Encoded configuration changes after `since` up to `version`; `whole`: a snapshot."""

    since: int
    version: int
    whole: bool
    records: tuple[bytes, ...]
