"""Placement by a configured policy, with admission control, retry budget and prediction."""

import math

from persimmonstall.placement.admission import admit
from persimmonstall.placement.length_aware import LengthAware
from persimmonstall.placement.policy import LeastOutstanding, RandomTwo, RoundRobin
from persimmonstall.placement.pools import pool_key
from persimmonstall.placement.prediction import OutputLengthPredictor
from persimmonstall.placement.services import LeastRunning
from persimmonstall.placement.view import FleetView
from persimmonstall.retries.budget import RetryBudget
from persimmonstall.retries.delays import retry_delay
from persimmonstall.retries.late import first_token_timeout

from .placer import Placer

REMOTE_SECONDS = 0.001
"""Assumed one-way delay to another data centre."""

LOCAL_SECONDS = 0.0002
"""Assumed one-way delay within the data centre."""

OVERDUE_CHECK_SECONDS = 1.0
"""Interval between checks for attempts whose first token is overdue."""

POLICIES = {
    "length": LengthAware,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "random_two": RandomTwo,
}
"""Policy classes by their names in the settings."""


class PolicyPlacer(Placer):
    """Applies the configured `Policy` to this entry's `FleetView`."""

    def __init__(self, settings, context):
        self.settings = settings
        self.context = context
        self.policy = POLICIES[settings.placing.policy]()
        self.services = LeastRunning()
        # The baseline policies admit every request, like a load balancer that ignores lengths.
        self.has_admission = settings.placing.policy == "length"
        self.view = FleetView(settings)
        self.predictor = OutputLengthPredictor()
        self.budget = RetryBudget(settings.placing.retry_share)
        self.instance_by_endpoint = {}
        self.last_overdue_check = 0.0

    def place(self, work, avoided, now):
        """Return the policy's decision, or a refusal if the work cannot meet its deadline."""
        if now - self.last_overdue_check > OVERDUE_CHECK_SECONDS:
            self.last_overdue_check = now
            self.view.check_overdue(now)
        policy = self.services if work.service else self.policy
        placed = policy.place(work, self.view, now, self.context.random, avoided)
        if not placed:
            return placed
        if not avoided:
            self.budget.record_request(now)
        if not self.has_admission or work.service:
            return placed
        refusal = admit(work, placed, now, self.context.random)
        return placed if refusal is None else refusal

    def pool_of(self, work):
        """Return the key of the pool of endpoints that serve `work`."""
        return pool_key(work)

    def pools(self):
        """Return the names of the available endpoints by pool key."""
        pools = self.view.pools.by_key
        return {key: [one.name for one in pool.members] for key, pool in pools.items()}

    def retry_delay(self, work, reason, attempt, now):
        """Return the seconds to wait before a retry, or None for no retry."""
        left = work.deadline - now
        return retry_delay(reason, attempt, left, self.budget, now, self.context.random)

    def first_token_timeout(self, work, placed, now):
        """Return the first token timeout in seconds, infinite if there must be no late retry."""
        return first_token_timeout(work, placed.expected, now) if self.has_admission else math.inf

    def may_retry_late(self, work, endpoint, now):
        """Whether another endpoint and spare retry budget exist; if so, takes one retry.

        The attempt is counted as overdue at `endpoint` in any case.
        """
        self.view.mark_overdue(work.request_id, endpoint, now)
        pool = self.view.pool(work)
        if pool is None or len(pool.members) < 2 or not self.budget.has_spare(now):
            return False
        self.budget.take(now)
        return True

    def predict(self, work):
        """Return the predicted number of output tokens of `work`."""
        return self.predictor.predict(work.organisation, work.model, work.max_tokens)

    def observe_output(self, work, used):
        """Update the prediction with the number of output tokens of an answer."""
        self.predictor.observe(work.organisation, work.model, used)

    def on_submit(self, work, placed, now):
        """Record an attempt as in flight."""
        self.view.sent(work, placed, now)

    def on_first_token(self, work, endpoint, now):
        """Record the time to the first token of an attempt."""
        self.view.first_token(work.request_id, endpoint, now)

    def on_end(self, work, endpoint, result, now):
        """Record that an attempt is no longer in flight."""
        self.view.ended(work.request_id, endpoint)

    def on_loads(self, instance, loads, now):
        """Update the loads of an instance's endpoints."""
        for load in loads:
            if self.instance_by_endpoint.get(load.endpoint) != instance.name:
                self.add_endpoint(instance, load, now)
            self.view.report(load, now)

    def add_endpoint(self, instance, load, now):
        """Add an endpoint that is new or was unreachable."""
        local = instance.data_centre == self.settings.daemon.data_centre
        delay = LOCAL_SECONDS if local else REMOTE_SECONDS
        self.instance_by_endpoint[load.endpoint] = instance.name
        self.view.join(load.endpoint, instance.data_centre, delay, now=now)

    def on_leaving(self, endpoints):
        """Stop placing work on these endpoints."""
        for endpoint in endpoints:
            self.view.leave(endpoint)

    def on_link_down(self, instance):
        """Stop placing work on the endpoints of an instance until it reports loads again."""
        for endpoint, name in list(self.instance_by_endpoint.items()):
            if name == instance:
                del self.instance_by_endpoint[endpoint]
                self.view.mark_lost(endpoint)
