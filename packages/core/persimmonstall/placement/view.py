"""An entry's view of the endpoints: delayed load reports, corrected by its own attempts.

The cost of an update does not depend on the number of endpoints, except when an endpoint joins,
leaves or changes what it serves: then the affected pools are rebuilt.
"""

from ..lengths import LONG_CLASSES
from .cost import weighted_tokens
from .endpoint_state import EndpointState, InFlightAttempt
from .pools import Pools, pool_key
from .prefix import PrefixMap
from .usual_times import UsualTimes

WARM_UP_SECONDS = 10.0
"""Time over which a rejoined endpoint is brought back to its full share of requests."""


class FleetView:
    """The endpoints known to an entry, by pool; `settings` is the root of the settings.

    >>> from ..settings import Settings
    >>> from ..messages.control import EndpointLoad
    >>> view = FleetView(Settings())
    >>> state = view.join("e1", "dc1")
    >>> view.report(EndpointLoad("e1", 0, 0, 0, 1000, 0, 0.02, models=("m",)), now=1.0)
    >>> [member.name for member in view.pools.by_key["model", "m", ""].members]
    ['e1']
    """

    def __init__(self, settings):
        self.settings = settings
        self.endpoints = {}
        self.pools = Pools(settings)
        self.attempts = {}
        self.prefixes = PrefixMap()
        self.usual_times = UsualTimes()

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
        self.pools.update(state)
        return state

    def remove(self, name):
        """Remove an endpoint and all that is known of its cache."""
        state = self.endpoints.pop(name, None)
        if state is not None:
            state.lost = True
            self.pools.update(state)
            self.prefixes.forget(name)

    def mark_lost(self, name):
        """Mark an endpoint as dead or unreachable; its cached prefixes are taken as gone."""
        state = self.endpoints.get(name)
        if state is not None and not state.lost:
            state.lost = True
            self.pools.update(state)
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
            self.pools.update(state)

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
        self.pools.remove(state)
        state.models, state.adapters, state.services = reported
        if state.reported_leaving and not load.leaving:
            state.warm_until = now + WARM_UP_SECONDS
        # An endpoint that reports leaving because its engine died rejoins with an empty cache.
        if load.leaving:
            self.prefixes.forget(state.name)
        state.reported_leaving = load.leaving
        self.pools.update(state)

    def pool(self, work):
        """Return the `Pool` that can serve `work`, or None."""
        return self.pools.by_key.get(pool_key(work))

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
        state.recompute_load()
        observed = max(0.0, now - attempt.sent_at - 2.0 * state.delay)
        self.usual_times.observe(attempt, observed)
        state.slowness.observe(observed, self.usual_times.seconds(attempt), now)

    def ended(self, request_id, endpoint):
        """Remove an attempt that ended, with any outcome."""
        attempt = self.attempts.pop((request_id, endpoint), None)
        if attempt is None:
            return
        state = attempt.endpoint
        state.mark_prefilled(attempt)
        state.mark_reported(attempt)
        state.own_running -= 1
        state.recompute_load()

    def check_overdue(self, now):
        """Update the slowness of endpoints whose attempts still wait for their first token.

        Called about once a second; takes time linear in the attempts in flight.
        """
        for attempt in self.attempts.values():
            self.record_if_overdue(attempt, now)

    def mark_overdue(self, request_id, endpoint, now):
        """Update the endpoint's slowness if the attempt still waits for its first token."""
        attempt = self.attempts.get((request_id, endpoint))
        if attempt is not None:
            self.record_if_overdue(attempt, now)

    def record_if_overdue(self, attempt, now):
        """Update the slowness of the endpoint of an attempt without a first token."""
        if not attempt.prefilled:
            waited = now - attempt.sent_at
            usual = self.usual_times.seconds(attempt)
            attempt.endpoint.slowness.record_overdue(waited, usual, now)
