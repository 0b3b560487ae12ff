"""Processes the datagrams of the other entries: beacons, findings and reports."""

import asyncio

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import datagrams, findings
from persimmonstall.direct.datagrams import Kind
from persimmonstall.failures import Failure

from ..observe import logs


class DatagramInbox(asyncio.DatagramProtocol):
    """Receives datagrams and merges what they tell into the state of `entry`."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.log = logs.get("peers")

    def datagram_received(self, data, _address):
        """Process one datagram."""
        self.receive(data)

    def error_received(self, error):
        """Log that a datagram could not be sent.

        It is not sent again, because the next beacon carries the complete state.
        """
        self.log.debug("datagram_refused", reason=repr(error))

    def receive(self, data):
        """Process a datagram of another entry.

        An error in it is logged: one that is passed on would close the socket for good.
        """
        try:
            if datagrams.is_typed(data):
                self.on_typed_datagram(datagrams.decode(data))
            else:
                self.on_beacon(data)
        except Exception as error:
            self.entry.metrics.count("bugs")
            self.log.error("bug", error=repr(error), exc_info=error)

    def on_typed_datagram(self, datagram):
        """Process findings, or pass on a message about permits or trials."""
        if isinstance(datagram, Failure):
            logs.log_failure(self.log, "datagram_unreadable", datagram)
        elif datagram.kind is Kind.FINDINGS:
            self.merge_findings(findings.decode(datagram.fields))
        elif datagram.kind in self.peers.reports:
            self.merge_report(datagram)
        elif datagram.kind in (Kind.TRIAL_REQUEST, Kind.TRIAL_REPLY):
            self.entry.trials.on_datagram(datagram)
        else:
            self.entry.permits.on_datagram(datagram)

    def merge_report(self, datagram):
        """Merge the report of another entry."""
        merged = self.peers.reports[datagram.kind].merge(datagram.fields, self.entry.now())
        if isinstance(merged, Failure):
            logs.log_failure(self.log, "report_unreadable", merged, report=datagram.kind.value)

    def merge_findings(self, found):
        """Merge the findings of another entry."""
        if isinstance(found, Failure):
            logs.log_failure(self.log, "findings_unreadable", found)
            return
        self.entry.limits.merge_remote(found.limits, found.address)
        self.entry.notices.merge_remote(found.leaving, found.address)
        self.entry.crash_reporter.merge_remote(found)

    def on_beacon(self, data):
        """Process a beacon; one that is older than the last of its sender is dropped."""
        beacon = beacons.decode(data, self.entry.state.load_tracker.attempts)
        if isinstance(beacon, Failure):
            logs.log_failure(self.log, "beacon_unreadable", beacon)
            return
        if beacon.address == self.peers.address:
            return
        peer = self.peers.meet(beacon.address)
        if peer.run == beacon.run and beacon.sequence <= peer.sequence:
            return
        if peer.last_heard is None or peer.run != beacon.run:
            self.log.info("peer_found", peer=beacon.address, run=beacon.run)
            peer.whole_due = 0.0
            self.peers.schedule_beacon(True)
        peer.run, peer.sequence = beacon.run, beacon.sequence
        peer.last_heard = peer.last_named = self.entry.now()
        peer.configuration, peer.endpoints = beacon.configuration, beacon.endpoints
        peer.endpoints_digest = beacon.endpoints_digest
        peer.link = beacon.link
        peer.leaving = beacon.leaving
        if self.entry.state.lacks(peer.configuration, peer.endpoints, peer.endpoints_digest):
            self.peers.snapshots.wake()
        for address in beacon.peers:
            if address not in self.peers.peers:
                self.peers.add_peer(address, first=True)
        self.entry.metrics.count("direct_beacons", tag="received")
        self.entry.metrics.count("direct_beacon_bytes", len(data), tag="received")
        self.merge_beacon(beacon)

    def merge_beacon(self, beacon):
        """Merge a beacon into the state of this entry."""
        state, now = self.entry.state, self.entry.now()
        if beacon.whole:
            state.load_tracker.merge_remote(beacon.address, beacon.attempts, now)
        else:
            state.load_tracker.merge_remote_changes(
                beacon.address, beacon.attempts, beacon.ended, now
            )
        state.budget.merge_remote(beacon.address, beacon.retry_usage)
        state.crash_tracker.merge_remote(beacon.crashes, now)
        state.failure_scores.merge_remote(beacon.failure_scores, now)
        state.load_tracker.slowdowns.merge_remote(beacon.slowdowns, now)
        relies_on_peers = self.entry.readers.reason.relies_on_peers
        state.peer_saw_directory(now - beacon.directory_age, now, relies_on_peers)
