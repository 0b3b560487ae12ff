"""Sections and options of the settings file."""

import attrs

from ..claims.retention import MAX_DEADLINE_SECONDS
from .option import option

ROLES = ("entry", "endpoint", "direct")


@attrs.define
class Daemon:
    """Identity and addresses of the daemon."""

    role: str = option("entry", "Role of this daemon.", choices=ROLES)
    instance: str = option("", "Name of the instance, unique in the fleet.")
    address: str = option("127.0.0.1:7000", "IP:port for links between daemons.")
    data_centre: str = option("dc1", "Data centre of the instance.")
    region: str = option("r1", "Region of the instance.")
    http: str = option("127.0.0.1:8000", "IP:port for callers (entry).")
    admin: str = option("127.0.0.1:9000", "IP:port for operators (entry).")
    linger: float = option(
        2.0, "Time for which a leaving entry still accepts requests.", "s", low=0, high=60
    )
    seed: int = option(0, "Seed of the random source; 0 for a random seed.", low=0)


@attrs.define
class Platform:
    """Addresses of the platform's services, and how they are called."""

    table: str = option("http://127.0.0.1:7101", "Base URL of the table service.")
    objects: str = option("http://127.0.0.1:7102", "Base URL of the object store.")
    instances: str = option("http://127.0.0.1:7103", "Base URL of the instance list.")
    weights: str = option("http://127.0.0.1:7104", "Base URL of the weight store.")
    timeout: float = option(1.0, "Timeout of a call.", "s", low=0.01, high=60)
    poll: float = option(2.0, "Mean time between polls of the catalogue.", "s", low=0.05, high=60)
    list_poll: float = option(2.0, "Mean time between reads of the instance list.", "s", low=0.05)


@attrs.define
class Endpoints:
    """Endpoints of an endpoint daemon."""

    serves: tuple = option(
        (), "Endpoints as name=engine@URL or name=service:NAME@URL, separated by commas."
    )
    ledger_poll: float = option(
        2.0, "Time between comparisons with the engine's list of jobs.", "s", low=0.05
    )
    unowned_grace: float = option(
        4.0, "Age at which engine memory without an owner is freed.", "s", low=0.1
    )
    keep_answers: float = option(20.0, "Time for which finished output is kept.", "s", low=0)
    step_silence: float = option(
        3.0, "Silence after which an engine is considered dead.", "s", low=0.05
    )


@attrs.define
class Callers:
    """Limits on callers' requests."""

    body_bytes: int = option(16_777_216, "Largest request body.", "bytes", low=1024)
    default_deadline: float = option(60.0, "Deadline of a request that sets none.", "s", low=0.1)
    max_deadline: float = option(
        900.0, "Longest deadline that a request may set.", "s", low=0.1, high=MAX_DEADLINE_SECONDS
    )
    reply_margin: float = option(
        0.05, "Time reserved for the response before the deadline.", "s", low=0
    )
    token_bytes: float = option(
        4.0, "Bytes of text that are counted as one token.", "bytes", low=0.5
    )
    idle_credit: int = option(
        2048, "Tokens that may be buffered for a slow caller.", "tokens", low=16
    )


@attrs.define
class Lengths:
    """Prompt length classes, by number of prompt tokens."""

    short: int = option(4_000, "Longest short prompt.", "tokens", low=1)
    medium: int = option(32_000, "Longest medium prompt.", "tokens", low=1)
    long: int = option(200_000, "Longest long prompt; longer ones are giant.", "tokens", low=1)
    block: int = option(1024, "Prompt tokens in a block of the prefix cache.", "tokens", low=16)


@attrs.define
class Links:
    """Links between daemons."""

    heartbeat: float = option(1.0, "Time between heartbeats on an idle link.", "s", low=0.02)
    silence: float = option(3.0, "Silence after which a link is considered dead.", "s", low=0.05)
    dial_timeout: float = option(1.0, "Timeout for opening a link.", "s", low=0.02)
    subset: int = option(64, "Endpoint daemons that an entry keeps links to.", low=1)
    retry_base: float = option(0.1, "First delay before a link is opened again.", "s", low=0.001)
    retry_cap: float = option(5.0, "Longest delay before a link is opened again.", "s", low=0.01)


@attrs.define
class Placing:
    """Choice of the endpoint for a request."""

    policy: str = option(
        "length",
        "Placement policy.",
        choices=("length", "round_robin", "least_outstanding", "random_two"),
    )
    attempts: int = option(4, "Largest number of attempts of a request.", low=1, high=20)
    retry_share: float = option(0.1, "Retries allowed as a share of requests.", low=0, high=1)
    chunk_tokens: int = option(
        1024, "Largest number of prompt tokens prefilled in a step.", "tokens", low=16
    )
    long_share: float = option(0.6, "Share of endpoints that long prompts may use.", low=0, high=1)
    short_share: float = option(
        0.25, "Share of endpoints that are reserved for short prompts.", low=0, high=1
    )


@attrs.define
class Limits:
    """Distribution of organisations' limits between entries."""

    own_share: float = option(
        0.2, "Share of a limit divided evenly between entries; the rest is lent.", low=0, high=1
    )
    burst: float = option(1.0, "Largest burst, as time at the rate of the limit.", "s", low=0.01)
    wait: float = option(
        0.1, "Longest wait for a reply of the budget's owner.", "s", low=0.001, high=5
    )
    lend: float = option(1.0, "Time of expected use that is requested in advance.", "s", low=0.01)
    slot_lease: float = option(
        30.0, "Time after which slots of a silent entry can be lent again.", "s", low=0.1
    )
    idle: float = option(10.0, "Time after which unused budget is returned.", "s", low=0.1)
    pressure: float = option(
        0.05,
        "Share of requests refused for lack of capacity above which fair shares apply.",
        low=0,
        high=1,
    )


@attrs.define
class Orders:
    """Orders to engines, which load models and adapters and change the role."""

    poll: float = option(2.0, "Time between comparisons with the engine's state.", "s", low=0.05)
    lease: float = option(10.0, "Length of the lease to send orders to an engine.", "s", low=0.1)
    pause_bound: float = option(
        20.0,
        "Longest pause of a daemon, added to the lease if an engine ignores fencing numbers.",
        "s",
        low=0,
    )
    timeout: float = option(1.0, "Timeout of a call to an engine.", "s", low=0.01)
    load_timeout: float = option(
        120.0,
        "Time after which a load that the engine does not report is ordered again.",
        "s",
        low=0.1,
    )
    backoff_base: float = option(
        1.0, "First delay after a refusal by the weight store.", "s", low=0.01
    )
    backoff_cap: float = option(
        30.0, "Longest delay after a refusal by the weight store.", "s", low=0.01
    )


@attrs.define
class Security:
    """Keys and certificates; files are reloaded when they change."""

    operator_keys: str = option("", "File of SHA-256 hashes of operators' keys, one per line.")
    certificate: str = option("", "PEM certificate of the operators' port.")
    private_key: str = option("", "PEM private key of the operators' port.")
    peer_certificate: str = option("", "PEM certificate for links between daemons.")
    peer_private_key: str = option("", "PEM private key for links between daemons.")
    peer_authority: str = option(
        "", "PEM certificate of the authority that must have signed peers' certificates."
    )


@attrs.define
class Observe:
    """Logs and metrics."""

    statsd: str = option("", "IP:port of the statsd server; empty to disable.")
    log_level: str = option(
        "info", "Lowest level that is logged.", choices=("debug", "info", "warning", "error")
    )
    burn_window: float = option(300.0, "Shortest window of the burn report.", "s", low=1)


@attrs.define
class Objectives:
    """Service-level objectives."""

    first_token: float = option(
        0.46, "Longest time to first token of a short prompt.", "s", low=0.01
    )
    first_token_medium: float = option(
        2.0, "Longest time to first token of a medium prompt.", "s", low=0.01
    )
    first_token_long: float = option(
        20.0, "Longest time to first token of a long prompt.", "s", low=0.01
    )
    first_token_giant: float = option(
        120.0, "Longest time to first token of a giant prompt.", "s", low=0.01
    )
    between_tokens: float = option(0.052, "Longest time between tokens.", "s", low=0.001)
    share: float = option(0.95, "Share of requests that must meet these times.", low=0, high=1)
    in_time: float = option(
        0.99, "Share of admitted requests that must finish before the deadline.", low=0, high=1
    )
    served: float = option(
        0.99, "Share of requests that must not be refused for lack of capacity.", low=0, high=1
    )


@attrs.define
class Direct:
    """An entry in direct mode: it calls endpoints itself, through an adapter to the platform."""

    ready: str = option("127.0.0.1:8001", "IP:port of the readiness check.")
    metrics: str = option("", "IP:port/path for fetching metrics; empty to disable.")
    directory: str = option("127.0.0.1:7100", "IP:port of the platform's store.")
    seeds: tuple = option((), "IP:port of instances whose entries are asked for peers.")
    grace: float = option(8.0, "Time between the stop signal and the kill.", "s", low=1)
    takeout: float = option(
        2.8, "Time after a stop signal for which every call is accepted.", "s", low=0
    )
    budget_ratio: float = option(0.2, "Retries allowed as a share of calls.", low=0, high=10)
    budget_slack: float = option(100.0, "Retries allowed in addition in each window.", low=0)
    budget_window: float = option(10.0, "Window of the retry budget.", "s", low=0.1)
    link_mbps: float = option(
        1000.0, "Bandwidth of the machine's link.", "Mbit/s", low=0.001, high=1_000_000
    )
    answer_bytes: int = option(
        16_777_216, "Largest answer of an endpoint that is not streamed.", "bytes", low=1024
    )
    answers_bytes: int = option(
        50_331_648,
        "Largest size of all answers that are held at once; above it the largest is given up.",
        "bytes",
        low=1024,
    )
    memory_mb: int = option(
        0,
        "Memory of the machine, which the entry stays within; 0 to hold any amount.",
        "MB",
        low=0,
    )
    descriptors: int = option(
        0,
        "Descriptors that the entry may have open; 0 to accept any number of connections.",
        low=0,
    )
    configuration_ms: int = option(
        2000, "Time in which a change of the configuration applies everywhere.", "ms", low=100
    )
    admission: bool = option(
        False,
        "Whether calls wait or are refused by priority and organisation while room is short.",
    )
    cold_overage: float = option(
        1.0, "Requests that a cold endpoint may get, as a multiple of what it names.", low=0
    )
    cold_slack: float = option(
        0.0, "Requests that a cold endpoint may get in addition in any second.", low=0
    )
    evacuation_ms: int = option(
        0,
        "Time after which nothing is sent to an evacuated data centre; 0 for that of the"
        " configuration.",
        "ms",
        low=0,
    )
    drain_ms: int = option(
        0,
        "Time after which nothing is sent to an endpoint that leaves; 0 for that of the"
        " configuration.",
        "ms",
        low=0,
    )
    unused_memory_ms: int = option(
        4000, "Time for which reserved engine memory may remain unused.", "ms", low=100
    )


SECTIONS = {
    "daemon": Daemon,
    "platform": Platform,
    "endpoints": Endpoints,
    "callers": Callers,
    "lengths": Lengths,
    "links": Links,
    "placing": Placing,
    "limits": Limits,
    "orders": Orders,
    "security": Security,
    "observe": Observe,
    "objectives": Objectives,
    "direct": Direct,
}
"""Section classes by section name."""


@attrs.define
class Settings:
    """All sections of the settings."""

    daemon: Daemon = attrs.field(factory=Daemon)
    platform: Platform = attrs.field(factory=Platform)
    endpoints: Endpoints = attrs.field(factory=Endpoints)
    callers: Callers = attrs.field(factory=Callers)
    lengths: Lengths = attrs.field(factory=Lengths)
    links: Links = attrs.field(factory=Links)
    placing: Placing = attrs.field(factory=Placing)
    limits: Limits = attrs.field(factory=Limits)
    orders: Orders = attrs.field(factory=Orders)
    security: Security = attrs.field(factory=Security)
    observe: Observe = attrs.field(factory=Observe)
    objectives: Objectives = attrs.field(factory=Objectives)
    direct: Direct = attrs.field(factory=Direct)

    def problems(self):
        """Return a (section, option, message) tuple for each conflict between options."""
        found = []
        if not self.daemon.instance:
            found.append(("daemon", "instance", "must be set"))
        if self.daemon.role == "endpoint" and not self.endpoints.serves:
            found.append(("endpoints", "serves", "must name at least one endpoint"))
        if not self.lengths.short < self.lengths.medium < self.lengths.long:
            found.append(("lengths", "medium", "short < medium < long must hold"))
        if self.links.silence <= self.links.heartbeat:
            found.append(("links", "silence", "must be longer than heartbeat"))
        if bool(self.security.certificate) != bool(self.security.private_key):
            found.append(
                (
                    "security",
                    "private_key",
                    "certificate and private_key must both be set or both be empty",
                )
            )
        return found
