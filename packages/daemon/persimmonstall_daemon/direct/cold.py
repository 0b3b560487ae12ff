"""Records which endpoints are cold; logs and counts them."""

import attrs

from persimmonstall.direct.messages import ResponseKind

from ..observe import logs

LOG = logs.get("cold")

OWN_KINDS = (ResponseKind.SUCCESS, ResponseKind.ENDPOINT_ERROR, ResponseKind.NOT_RUN)
"""Answers that come from the endpoint that was called."""


@attrs.define
class ColdReporter:
    """Updates the cold endpoints of an entry by answers; `cold` are the names logged as such."""

    entry: object
    cold: frozenset = frozenset()

    def record_answer(self, endpoint, head):
        """Record for how long an answer says that its endpoint is cold."""
        if head.cold_seconds and head.kind in OWN_KINDS:
            self.entry.state.cold.record_answer(endpoint, head.cold_seconds, self.entry.now())

    def review(self, now):
        """Log which endpoints became cold or warm since the last time."""
        tracker = self.entry.state.cold
        cold = frozenset(name for (name, _), each in tracker.lifetimes.items() if each.until > now)
        if cold == self.cold:
            return
        LOG.info(
            "cold_endpoints_changed",
            turned_cold=sorted(cold - self.cold),
            turned_warm=sorted(self.cold - cold),
            cold=len(cold),
            endpoints_revision=self.entry.state.fleet.revision,
        )
        self.entry.metrics.gauge("direct_cold_endpoints", len(cold))
        self.cold = cold
