"""Placement by a policy of the core, with admission, retry budget and what was learned."""

import math

from persimmonstall.placement.admission import admit
from persimmonstall.placement.length_aware import LengthAware
from persimmonstall.placement.policy import LeastOutstanding, RandomTwo, RoundRobin
from persimmonstall.placement.prediction import OutputLengthPredictor
from persimmonstall.placement.services import LeastRunning
from persimmonstall.placement.view import FleetView, pool_key
from persimmonstall.retries.budget import RetryBudget
from persimmonstall.retries.delays import retry_delay
from persimmonstall.retries.late import first_token_timeout

from .placer import Placer

REMOTE_SECONDS = 0.001
"""One-way delay assumed to another data centre, in seconds."""

LOCAL_SECONDS = 0.0002
"""One-way delay assumed within the data centre, in seconds."""

LOOK_SECONDS = 1.0
"""Time between two looks for attempts whose first token is overdue."""

POLICIES = {
    "length": LengthAware,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "random_two": RandomTwo,
}
"""Policy classes by their names in the settings."""


class PolicyPlacer(Placer):
    """Applies one `Policy` to this entry's `FleetView`; `settings` are the whole settings."""

    def __init__(self, settings, context):
        self.settings = settings
        self.context = context
        self.policy = POLICIES[settings.placing.policy]()
        self.services = LeastRunning()
        # The baselines take every request, as a balancer without knowledge of lengths does.
        self.admits = settings.placing.policy == "length"
        self.view = FleetView(settings)
        self.predictor = OutputLengthPredictor()
        self.budget = RetryBudget(settings.placing.retry_share)
        self.instances = {}
        self.looked_at = 0.0

    def place(self, work, avoided, now):
        """Return the policy's choice, or the refusal of what cannot finish in time."""
        if now - self.looked_at > LOOK_SECONDS:
            self.looked_at = now
            self.view.check_overdue(now)
        policy = self.services if work.service else self.policy
        placed = policy.place(work, self.view, now, self.context.random, avoided)
        if not placed:
            return placed
        if not avoided:
            self.budget.record_request(now)
        if not self.admits or work.service:
            return placed
        refusal = admit(work, placed, now, self.context.random)
        return placed if refusal is None else refusal

    def pool_of(self, work):
        """Return the key of the pool of endpoints that serve `work`."""
        return pool_key(work)

    def pools(self):
        """Return the names of the usable endpoints by pool key."""
        pools = self.view.pools
        return {key: [one.name for one in pool.members] for key, pool in pools.items()}

    def retry_delay(self, work, reason, attempt, now):
        """Return the seconds before another attempt, or None for no other one."""
        left = work.deadline - now
        return retry_delay(reason, attempt, left, self.budget, now, self.context.random)

    def first_token_timeout(self, work, placed, now):
        """Return the seconds to wait for a first token, for work that may be run again."""
        return first_token_timeout(work, placed.expected, now) if self.admits else math.inf

    def may_retry_late(self, work, endpoint, now):
        """Whether there is another endpoint and the budget has plenty left; takes one retry."""
        self.view.mark_overdue(work.request_id, endpoint, now)
        pool = self.view.pool(work)
        if pool is None or len(pool.members) < 2 or not self.budget.has_spare(now):
            return False
        self.budget.take(now)
        return True

    def predict(self, work):
        """Return the output tokens that `work` will probably use."""
        return self.predictor.predict(work.organisation, work.model, work.max_tokens)

    def observe_output(self, work, used):
        """Learn from the output tokens that an answer used."""
        self.predictor.observe(work.organisation, work.model, used)

    def on_submit(self, work, placed, now):
        """Count an attempt as in flight."""
        self.view.sent(work, placed, now)

    def on_first_token(self, work, endpoint, now):
        """Learn from the time to the first token of an attempt."""
        self.view.first_token(work.request_id, endpoint, now)

    def on_end(self, work, endpoint, result, now):
        """Count an attempt as ended."""
        self.view.ended(work.request_id, endpoint)

    def on_loads(self, instance, loads, now):
        """Take the loads of an instance's endpoints."""
        for load in loads:
            if self.instances.get(load.endpoint) != instance.name:
                self.join(instance, load, now)
            self.view.report(load, now)

    def join(self, instance, load, now):
        """Take up an endpoint that is new here, or was out of reach."""
        local = instance.data_centre == self.settings.daemon.data_centre
        delay = LOCAL_SECONDS if local else REMOTE_SECONDS
        self.instances[load.endpoint] = instance.name
        self.view.join(load.endpoint, instance.data_centre, delay, now=now)

    def on_leaving(self, endpoints):
        """Place nothing more on these endpoints."""
        for endpoint in endpoints:
            self.view.leave(endpoint)

    def on_link_down(self, instance):
        """Place nothing behind the named instance until it reports again."""
        for endpoint, name in list(self.instances.items()):
            if name == instance:
                del self.instances[endpoint]
                self.view.mark_lost(endpoint)
