"""Records what endpoints say about later calls, and tells the peers which of them leave."""

import attrs

from persimmonstall.direct.messages import ResponseKind

from ..observe import logs

LOG = logs.get("notices")

OWN_KINDS = (ResponseKind.SUCCESS, ResponseKind.ENDPOINT_ERROR, ResponseKind.NOT_RUN)
"""Answers whose notice is that of the endpoint that was called."""


@attrs.define
class NoticeReporter:
    """Updates the entry's `EndpointNotices`; calls `on_change(urgent)` if an endpoint leaves."""

    entry: object
    on_change: object

    def record_answer(self, endpoint, head):
        """Record the notice of an answer to a call."""
        if head.kind in OWN_KINDS:
            self.record(endpoint, head.notice)

    def record(self, endpoint, notice):
        """Record the notice of an answer to a call or a memory order."""
        notices, now = self.entry.state.notices, self.entry.now()
        if notice.pause and not notices.seconds_paused(endpoint.lifetime, now):
            LOG.info("endpoint_paused", endpoint=endpoint.name, seconds=notice.pause)
        if notices.record(endpoint.lifetime, notice, now):
            LOG.info("endpoint_leaving", endpoint=endpoint.name, source="answer")
            self.on_change(True)

    def merge_remote(self, lifetimes, source):
        """Merge the leaving endpoints that the entry at the address `source` reports."""
        for name, _ in self.entry.state.notices.merge_remote(lifetimes, self.entry.now()):
            LOG.info("endpoint_leaving", endpoint=name, source=source)
