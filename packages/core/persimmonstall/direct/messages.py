"""Typed messages of direct mode: configuration, endpoints, calls and answers.

Times are in seconds.  Headers are pairs of bytes, in the order received.
"""

import enum

import attrs

from .distance import Delay
from .notices import NOTHING, Notice

NO_RESUME = -1
"""Value of `Call.resume_after` for a call that starts from the beginning."""


class Repeat(enum.StrEnum):
    """Whether a call may run more than once."""

    NEVER = "never"
    ALLOWED = "allowed"


@attrs.frozen
class Share:
    """The weight of a service in the traffic split of a route."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Settings for calls to `host` whose path starts with `prefix`.

    `objective` is the latency objective of the answer, or of its first event if it is streamed;
    `gap_objective` is the longest gap between events that still meets the objective.  `attempts`
    is the maximum number of endpoints on which one call may run.
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
        """Whether a call may be sent again even if it may have run already."""
        return self.repeat is Repeat.ALLOWED or self.resumable


@attrs.frozen
class EngineProfile:
    """Cost model of a model engine: `slots` for sequences, `memory` in tokens, times in seconds.

    A scheduling pass has `stride` steps while any sequence is generating, else one.  A step takes
    `step` plus `per_sequence` for each sequence and `per_context` for each token of its context.
    It prefills at most `chunk` prompt tokens; each takes `token_read`, plus `pair_read` for each
    earlier token that it is paired with.
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
    """A service that calls are routed to; `engine` is None for a plain one without an engine.

    Its endpoints are cold for `cold_start` seconds after a start, and then take `cold_rate`
    requests per second each; 0 for any number.
    """

    name: str
    engine: EngineProfile | None = None
    cold_start: float = 0.0
    cold_rate: float = 0.0


@attrs.frozen
class Organisation:
    """The owner of an API key; a lower `priority` goes first, None means that of the route.

    It is not `sendable` if endpoints cannot be told its name, so that its calls are not served.
    """

    name: str
    priority: int | None = None
    sendable: bool = True


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of callers' requests; 0 bytes means the largest size."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen
class Configuration:
    """The operators' configuration at one version; `keys` holds organisations by API key.

    `keyed` says whether calls need a key, `delays` are those between data centres.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.field(factory=dict)
    keys: dict[str, Organisation] = attrs.field(factory=dict)
    keyed: bool = False
    caps: CallerLimits = attrs.field(factory=CallerLimits)
    delays: tuple[Delay, ...] = ()


@attrs.frozen
class Endpoint:
    """One lifetime of an endpoint; `born` distinguishes lifetimes of the same name.

    `cold_seconds` is for how long it said it would still be cold, None if it did not say.
    """

    name: str
    service: str
    address: str
    data_centre: str = ""
    born: int = 0
    slots: int = 1
    leaving: bool = False
    cold_seconds: float | None = None

    @property
    def lifetime(self):
        """Identifier of the lifetime."""
        return self.name, self.born


@attrs.frozen
class DroppedBody:
    """Stands for a body of `size` bytes that arrived and was not kept: its call can't be sent."""

    size: int


@attrs.frozen
class Call:
    """A caller's request, independent of the endpoint that it is sent to.

    `arrived` and `deadline` are on the local monotonic clock.  `resume_after` is the id of the
    last event that the caller has; `output_estimate` is the caller's estimate of the output
    tokens, 0 if it gave none.  `shared_parts` are the ids of the parts of the prompt that other
    calls may have too.
    """

    call_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | DroppedBody
    arrived: float
    deadline: float
    key: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_estimate: int = 0
    resume_after: int = NO_RESUME
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self):
        """Path without the query string, as it was sent."""
        return self.target.partition("?")[0]


@attrs.frozen
class RoutedCall:
    """A call with its route, service and organisation.

    `content` is the fingerprint of its content, `parts` are those of it that other calls may
    share.  `priorities` are those that calls of this service can have, in ascending order.
    """

    call: Call
    route: Route
    service: Service
    organisation: Organisation | None = None
    content: str = ""
    parts: tuple[str, ...] = ()
    priorities: tuple[int, ...] = ()

    @property
    def deadline(self):
        """Time by which the caller must have its answer: its deadline or the route's timeout."""
        return min(self.call.deadline, self.call.arrived + self.route.timeout)

    @property
    def priority(self):
        """Priority of the organisation, or of the route if the organisation has none."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


@attrs.frozen
class Helper:
    """An endpoint that prefills a part of a prompt.

    `ticket` is the id of the memory reservation there, empty if none is made.
    """

    endpoint: Endpoint
    ticket: str = ""


@attrs.frozen
class AttemptRequest:
    """The request of one attempt to an endpoint; `remaining` is the time it may take."""

    endpoint: Endpoint
    remaining: float
    urgency: int | None = None
    helpers: tuple[Helper, ...] = ()
    resume_after: int = NO_RESUME


class ResponseKind(enum.StrEnum):
    """What status and headers of an endpoint's answer say about the call."""

    SUCCESS = "success"
    ENDPOINT_ERROR = "endpoint_error"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    INVALID = "invalid"


@attrs.frozen
class ResponseHead:
    """Status and headers of an endpoint's answer, and what they mean.

    `headers` are the ones to pass on to the caller.  `blamed_address` is the address of another
    endpoint that the answer blames for its failure, empty if none.  `request_limit` is the limit
    that the endpoint names, in requests per second from all entries together, None if it does not.
    `notice` says whether it wants later calls, `cold_seconds` for how long it is cold, 0 if it
    does not say.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    kind: ResponseKind
    blamed_address: str = ""
    event_stream: bool = False
    request_limit: float | None = None
    cold_seconds: float = 0.0
    notice: Notice = NOTHING


@attrs.frozen
class Reply:
    """A complete answer to a caller, sent in one piece; `close` closes the connection after it."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    close: bool = False
