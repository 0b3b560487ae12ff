"""State of an endpoint as an entry sees it: its last report and what the entry sent since."""

from collections import deque

import attrs

from .cost import PRIOR_SECONDS_PER_TOKEN, PRIOR_STEP_SECONDS
from .slow import Slowness

UNTRIED_STEP_SECONDS = PRIOR_STEP_SECONDS / 2
"""Step time assumed of an endpoint that has not run yet; optimistic, so that it is tried."""

REPORT_LAG_SECONDS = 0.05
"""Age of a load report when the endpoint's daemon sends it."""


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

    def recompute_load(self):
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
        self.recompute_load()

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
        self.recompute_load()
