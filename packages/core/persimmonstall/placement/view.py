"""An entry's view of the endpoints: delayed load reports, corrected by its own attempts.

The cost of an update does not depend on the number of endpoints, except when an endpoint joins,
leaves or changes what it serves: then the affected pools are rebuilt.
"""

import zlib
from collections import deque

import attrs

from ..lengths import LONG_CLASSES
from .cost import PRIOR_SECONDS_PER_TOKEN, PRIOR_STEP_SECONDS, weighted_tokens
from .prefix import PrefixMap
from .slow import FLOOR_SECONDS, MAX_RATIO, Slowness

UNTRIED_STEP_SECONDS = PRIOR_STEP_SECONDS / 2
"""Step time assumed of an endpoint that has not run yet; optimistic, so that it is tried."""

REPORT_LAG_SECONDS = 0.05
"""Age of a load report when the endpoint's daemon sends it."""

MEAN_RATIO_WEIGHT = 0.02
"""Weight of the newest attempt in the average ratio of observed to expected time to first token
of its length class."""

WARM_UP_SECONDS = 10.0
"""Time over which a rejoined endpoint is brought back to its full share of requests."""


@attrs.define(eq=False)
class InFlightAttempt:
    """An attempt in flight, with the load that it adds until its endpoint's reports include it."""

    endpoint: "EndpointState"
    tokens: float
    long: bool
    memory: int
    sent_at: float
    expected: float
    length_class: str = ""
    reported: bool = False
    prefilled: bool = False


@attrs.define(eq=False)
class EndpointState:
    """State of one endpoint as seen by the entry, in tokens and seconds.

    `reported_*` are from the endpoint's last load report, `unreported_*` count what this entry
    has sent since that report was made, `own_*` all that this entry has in flight.  `ahead` is
    the number of prompt tokens to be prefilled before a new request, `long_ahead` those of long
    prompts among them.
    """

    name: str
    data_centre: str = ""
    delay: float = 0.0
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    leaving: bool = False
    reported_leaving: bool = False
    drained: bool = False
    lost: bool = False
    reserved: bool = False
    warm_until: float = 0.0
    slowness: Slowness = attrs.field(factory=Slowness)
    step_seconds: float = UNTRIED_STEP_SECONDS
    token_seconds: float = PRIOR_SECONDS_PER_TOKEN
    memory_total: int = 0
    reported_running: int = 0
    reported_memory: int = 0
    reported_ahead: int = 0
    reported_long: int = 0
    own_running: int = 0
    own_ahead: float = 0.0
    own_long: float = 0.0
    unreported: deque = attrs.field(factory=deque)
    unreported_ahead: float = 0.0
    unreported_long: float = 0.0
    unreported_memory: int = 0
    unreported_running: int = 0
    ahead: float = 0.0
    long_ahead: float = 0.0
    running: int = 0
    memory_free: int = 0

    @property
    def usable(self):
        """Return whether the endpoint accepts new requests."""
        return not (self.leaving or self.reported_leaving or self.drained or self.lost)

    def refresh(self):
        """Recompute the corrected load."""
        self.ahead = max(self.reported_ahead + self.unreported_ahead, self.own_ahead)
        self.long_ahead = max(self.reported_long + self.unreported_long, self.own_long)
        self.running = max(self.reported_running + self.unreported_running, self.own_running)
        self.memory_free = self.memory_total - self.reported_memory - self.unreported_memory

    def add(self, attempt):
        """Add the load of an attempt that was just sent."""
        while self.unreported and self.unreported[0].reported:
            self.unreported.popleft()
        self.unreported.append(attempt)
        self.own_running += 1
        self.own_ahead += attempt.tokens
        self.unreported_ahead += attempt.tokens
        self.unreported_memory += attempt.memory
        self.unreported_running += 1
        if attempt.long:
            self.own_long += attempt.tokens
            self.unreported_long += attempt.tokens
        self.refresh()

    def mark_reported(self, attempt):
        """Remove an attempt from the unreported load once reported or ended; idempotent."""
        if attempt.reported:
            return
        attempt.reported = True
        self.unreported_memory -= attempt.memory
        self.unreported_running -= 1
        if not attempt.prefilled:
            self.unreported_ahead -= attempt.tokens
            self.unreported_long -= attempt.tokens if attempt.long else 0.0

    def mark_prefilled(self, attempt):
        """Remove an attempt's prefill from the load; idempotent."""
        if attempt.prefilled:
            return
        if not attempt.reported:
            self.unreported_ahead -= attempt.tokens
            self.unreported_long -= attempt.tokens if attempt.long else 0.0
        attempt.prefilled = True
        self.own_ahead -= attempt.tokens
        self.own_long -= attempt.tokens if attempt.long else 0.0

    def apply_report(self, load, now):
        """Replace the reported load; attempts sent after it was made are still added."""
        made_at = now - self.delay - REPORT_LAG_SECONDS
        while self.unreported and self.unreported[0].sent_at + self.delay < made_at:
            self.mark_reported(self.unreported.popleft())
        self.reported_running = load.running + load.waiting
        self.reported_memory = load.memory_used
        self.reported_ahead = load.prefill_backlog
        self.reported_long = load.long_tokens
        self.memory_total = load.memory_total
        if load.step_seconds > 0.0:
            self.step_seconds = load.step_seconds
        if load.token_seconds > 0.0:
            self.token_seconds = load.token_seconds
        self.refresh()


@attrs.define(eq=False)
class Pool:
    """The usable endpoints of a model, a model with an adapter, or a service.

    `reserved` are those reserved for short prompts, `common` all others; every entry makes the
    same choice.
    """

    members: list = attrs.field(factory=list)
    common: list = attrs.field(factory=list)
    reserved: list = attrs.field(factory=list)


def pool_key(work):
    """Return the key of the pool that can serve `work`."""
    if work.service:
        return ("service", work.service)
    return ("model", work.model, work.adapter)


def stable_rank(name):
    """Return a pseudo-random sort key of an endpoint that is the same at every entry."""
    return zlib.crc32(name.encode())


class FleetView:
    """The endpoints known to an entry, by pool; `settings` is the root of the settings.

    >>> from ..settings import Settings
    >>> from ..messages.control import EndpointLoad
    >>> view = FleetView(Settings())
    >>> state = view.join("e1", "dc1")
    >>> view.report(EndpointLoad("e1", 0, 0, 0, 1000, 0, 0.02, models=("m",)), now=1.0)
    >>> [member.name for member in view.pools["model", "m", ""].members]
    ['e1']
    """

    def __init__(self, settings):
        self.settings = settings
        self.endpoints = {}
        self.pools = {}
        self.attempts = {}
        self.prefixes = PrefixMap()
        self.mean_ratios = {}

    def join(self, name, data_centre="", delay=0.0, services=(), now=0.0):
        """Add an endpoint, or reinstate a lost one, and return its `EndpointState`."""
        state = self.endpoints.get(name)
        if state is None:
            state = EndpointState(name, data_centre, delay, tuple(services))
            self.endpoints[name] = state
        elif state.lost:
            state.warm_until = now + WARM_UP_SECONDS
        state.lost = False
        state.leaving = False
        self.update_pools(state)
        return state

    def remove(self, name):
        """Remove an endpoint and all that is known of its cache."""
        state = self.endpoints.pop(name, None)
        if state is not None:
            state.lost = True
            self.update_pools(state)
            self.prefixes.forget(name)

    def mark_lost(self, name):
        """Mark an endpoint as dead or unreachable; its cached prefixes are taken as gone."""
        state = self.endpoints.get(name)
        if state is not None and not state.lost:
            state.lost = True
            self.update_pools(state)
            self.prefixes.forget(name)

    def leave(self, name):
        """Mark an endpoint as leaving: it accepts no new requests."""
        self.set_flag(name, "leaving", True)

    def drain(self, name, drained):
        """Set or clear an operator's drain mark."""
        self.set_flag(name, "drained", drained)

    def set_flag(self, name, attribute, value):
        """Set a flag that makes an endpoint usable or not, and update its pools."""
        state = self.endpoints.get(name)
        if state is not None and getattr(state, attribute) != value:
            setattr(state, attribute, value)
            self.update_pools(state)

    def report(self, load, now):
        """Apply an `EndpointLoad`; one of an unknown endpoint is ignored."""
        state = self.endpoints.get(load.endpoint)
        if state is None:
            return
        state.apply_report(load, now)
        known = (state.models, state.adapters, state.services)
        reported = (load.models, load.adapters, load.services or state.services)
        if known == reported and load.leaving == state.reported_leaving:
            return
        self.remove_from_pools(state)
        state.models, state.adapters, state.services = reported
        if state.reported_leaving and not load.leaving:
            state.warm_until = now + WARM_UP_SECONDS
        # An endpoint that reports leaving because its engine died rejoins with an empty cache.
        if load.leaving:
            self.prefixes.forget(state.name)
        state.reported_leaving = load.leaving
        self.update_pools(state)

    def pool_keys_of(self, state):
        """Return the keys of the pools that an endpoint belongs to."""
        keys = [("service", name) for name in state.services]
        for model in state.models:
            keys.append(("model", model, ""))
            keys.extend(("model", model, adapter) for adapter in state.adapters)
        return keys

    def remove_from_pools(self, state):
        """Remove an endpoint from its pools."""
        for key in self.pool_keys_of(state):
            pool = self.pools.get(key)
            if pool is not None and state in pool.members:
                pool.members.remove(state)
                self.choose_reserved(pool)

    def update_pools(self, state):
        """Add an endpoint to its pools if it is usable, else remove it."""
        self.remove_from_pools(state)
        if not state.usable:
            return
        for key in self.pool_keys_of(state):
            pool = self.pools.setdefault(key, Pool())
            pool.members.append(state)
            pool.members.sort(key=lambda member: (stable_rank(member.name), member.name))
            self.choose_reserved(pool)

    def choose_reserved(self, pool):
        """Choose the members that are reserved for short prompts."""
        placing = self.settings.placing
        count = len(pool.members)
        reserved = min(round(placing.short_share * count), count - 1)
        pool.common = pool.members[: count - reserved] if reserved > 0 else pool.members
        pool.reserved = pool.members[count - reserved :] if reserved > 0 else []
        for number, state in enumerate(pool.members):
            state.reserved = number >= len(pool.common)

    def pool(self, work):
        """Return the `Pool` that can serve `work`, or None."""
        return self.pools.get(pool_key(work))

    def sent(self, work, placed, now):
        """Record an attempt that is sent as `placed`."""
        state = self.endpoints.get(placed.endpoint)
        if state is None:
            return
        tokens = weighted_tokens(placed.uncached, work.prompt_tokens)
        memory = work.prompt_tokens + work.predicted_tokens
        long = work.length_class in LONG_CLASSES
        length_class = work.length_class
        attempt = InFlightAttempt(state, tokens, long, memory, now, placed.expected, length_class)
        self.attempts[work.request_id, placed.endpoint] = attempt
        state.add(attempt)
        state.slowness.record_use(now)
        if work.blocks:
            self.prefixes.record(state.name, work.blocks)

    def first_token(self, request_id, endpoint, now):
        """Record an attempt's first token and update its endpoint's slowness."""
        attempt = self.attempts.get((request_id, endpoint))
        if attempt is None or attempt.prefilled:
            return
        state = attempt.endpoint
        state.mark_prefilled(attempt)
        state.refresh()
        observed = max(0.0, now - attempt.sent_at - 2.0 * state.delay)
        # Observed times are compared with the average of the class over all endpoints: waits
        # that exceed their estimates everywhere do not make a single endpoint slow.
        ratio = (observed + FLOOR_SECONDS) / (attempt.expected + FLOOR_SECONDS)
        mean_ratio = self.mean_ratios.get(attempt.length_class, 1.0)
        mean_ratio += MEAN_RATIO_WEIGHT * (min(MAX_RATIO, ratio) - mean_ratio)
        self.mean_ratios[attempt.length_class] = mean_ratio
        state.slowness.observe(observed, self.usual_seconds(attempt), now)

    def ended(self, request_id, endpoint):
        """Remove an attempt that ended, with any outcome."""
        attempt = self.attempts.pop((request_id, endpoint), None)
        if attempt is None:
            return
        state = attempt.endpoint
        state.mark_prefilled(attempt)
        state.mark_reported(attempt)
        state.own_running -= 1
        state.refresh()

    def check_overdue(self, now):
        """Update the slowness of endpoints whose attempts still wait for their first token.

        Called about once a second; takes time linear in the attempts in flight.
        """
        for attempt in self.attempts.values():
            if not attempt.prefilled:
                waited = now - attempt.sent_at
                attempt.endpoint.slowness.record_overdue(waited, self.usual_seconds(attempt), now)

    def mark_overdue(self, request_id, endpoint, now):
        """Update the endpoint's slowness if the attempt still waits for its first token."""
        attempt = self.attempts.get((request_id, endpoint))
        if attempt is not None and not attempt.prefilled:
            waited = now - attempt.sent_at
            attempt.endpoint.slowness.record_overdue(waited, self.usual_seconds(attempt), now)

    def usual_seconds(self, attempt):
        """Return the time to first token, in seconds, that is usual for the attempt's class."""
        return max(1.0, self.mean_ratios.get(attempt.length_class, 1.0)) * attempt.expected
