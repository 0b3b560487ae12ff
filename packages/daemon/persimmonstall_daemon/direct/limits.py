"""Records the request limits that endpoints name and reports each change to the peers."""

import attrs

from persimmonstall.direct.messages import ResponseKind

from ..observe import logs

LOG = logs.get("limits")

NAMING_KINDS = (ResponseKind.SUCCESS, ResponseKind.ENDPOINT_ERROR, ResponseKind.NOT_RUN)
"""Answers whose limit is that of the endpoint that was called."""

LIFTING_KINDS = (ResponseKind.SUCCESS, ResponseKind.ENDPOINT_ERROR)
"""Answers that show, if they name no limit, that the endpoint has none any more."""


@attrs.define
class LimitReporter:
    """Updates the `request_limits` and calls `on_change(urgent)` after each change."""

    entry: object
    on_change: object

    def record_answer(self, endpoint, head, sent_at):
        """Record the limit that an answer names; the call was sent at the time `sent_at`."""
        rate = head.request_limit
        if head.kind not in (LIFTING_KINDS if rate is None else NAMING_KINDS):
            return
        limits, now = self.entry.state.request_limits, self.entry.now()
        if limits.observe(endpoint.lifetime, rate, sent_at, now):
            self.log_change(endpoint.name, rate, "answer")
            self.on_change(True)

    def merge_remote(self, reports, source):
        """Merge the limits that the entry at the address `source` reports."""
        limits, now = self.entry.state.request_limits, self.entry.now()
        for report in limits.merge_remote(reports, now):
            self.log_change(report.endpoint, report.rate, source)

    def log_change(self, endpoint_name, rate, source):
        """Log that an endpoint names another limit, or none; `source` is how it is known."""
        LOG.info("request_limit_changed", endpoint=endpoint_name, rate=rate, source=source)
