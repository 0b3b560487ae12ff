"""Typed messages of the direct way: configuration, endpoints, calls and answers.

Times are in seconds.  Headers are pairs of bytes, in the order received.
"""

import enum

import attrs

NO_RESUME = -1
"""Value of `Call.resume_after` of a call that starts at the beginning."""


class Repeat(enum.StrEnum):
    """Whether a call may run more than once."""

    NEVER = "never"
    ALLOWED = "allowed"


@attrs.frozen
class Share:
    """A service's share of the calls of a route."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Calls of `host` whose path begins with `prefix`.

    `objective` is the latency objective of the answer or of its first event, `gap_objective`
    the longest pause between events that still meets it.  `attempts` bounds the endpoints on
    which one call may run.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat = Repeat.NEVER
    streaming: bool = False
    resumable: bool = False
    timeout: float = 60.0
    objective: float = 1.0
    gap_objective: float = 1.0
    attempts: int = 1
    priority: int = 0
    public: bool = False

    @property
    def repeatable(self):
        """Whether a call may be sent again although it may have run."""
        return self.repeat is Repeat.ALLOWED or self.resumable


@attrs.frozen
class EngineProfile:
    """How a model engine spends its time and memory.

    A pass runs `stride` steps when some sequence is being written, else one.  A step takes
    `step` plus, for each sequence, `per_sequence` and `per_context` for a token of context;
    at most `chunk` prompt tokens are read in a step, at `token_read` each, plus `pair_read` for
    each pair of a token with an earlier one.
    """

    slots: int
    memory: int
    step: float
    per_sequence: float
    per_context: float
    token_read: float
    pair_read: float
    chunk: int
    stride: int


@attrs.frozen
class Service:
    """A service that routes lead to; `engine` is None for a plain one."""

    name: str
    engine: EngineProfile | None = None


@attrs.frozen
class Organisation:
    """Whose key a call carries; a lower `priority` goes first, None leaves it to the route."""

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take; 0 bytes is no limit."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen
class Configuration:
    """All that operators set, at one version; `keys` is empty where no key is asked for."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.field(factory=dict)
    keys: dict[str, Organisation] = attrs.field(factory=dict)
    keyed: bool = False
    caps: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen
class Endpoint:
    """One lifetime of an endpoint; `born` tells two lifetimes of one name apart."""

    name: str
    service: str
    address: str
    data_centre: str = ""
    born: int = 0
    slots: int = 1
    leaving: bool = False

    @property
    def lifetime(self):
        """What identifies the lifetime."""
        return self.name, self.born


@attrs.frozen
class Call:
    """A caller's request, independent of where it is sent.

    `arrived` and `deadline` are on the local monotonic clock.  `resume_after` is the last
    event that the caller has; `output_estimate` its estimate of the output tokens, 0 for none.
    """

    call_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived: float
    deadline: float
    key: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_estimate: int = 0
    resume_after: int = NO_RESUME

    @property
    def path(self):
        """The path without the query, as it was sent."""
        return self.target.partition("?")[0]


@attrs.frozen
class RoutedCall:
    """A call that passed the checks: its route, service and organisation.

    `content` is the fingerprint of what it asks.
    """

    call: Call
    route: Route
    service: Service
    organisation: Organisation | None = None
    content: str = ""

    @property
    def deadline(self):
        """When the caller must have its answer: its own deadline or the route's timeout."""
        return min(self.call.deadline, self.call.arrived + self.route.timeout)

    @property
    def priority(self):
        """The organisation's priority, or the route's."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


@attrs.frozen
class Helper:
    """An endpoint that reads a part of a prompt; `ticket` names reserved memory there."""

    endpoint: Endpoint
    ticket: str = ""


@attrs.frozen
class AttemptRequest:
    """One attempt of a call at an endpoint; `remaining` is the time it may take."""

    endpoint: Endpoint
    remaining: float
    urgency: int | None = None
    helpers: tuple[Helper, ...] = ()
    resume_after: int = NO_RESUME


class ResponseKind(enum.StrEnum):
    """What the first lines of an endpoint's answer say about the call."""

    SUCCESS = "success"
    ENDPOINT_ERROR = "endpoint_error"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    INVALID = "invalid"


@attrs.frozen
class ResponseHead:
    """Status and headers of an endpoint's answer, and what they mean.

    `headers` are those to be passed to the caller.  `blamed_address` is the address of another
    endpoint that the answer blames, empty for none.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    kind: ResponseKind
    blamed_address: str = ""
    event_stream: bool = False


@attrs.frozen
class Reply:
    """A whole answer of the entry's own."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    close: bool = False
