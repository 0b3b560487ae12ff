"""Builds the datagrams in which an entry tells the others its state."""

import attrs

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import datagrams, findings
from persimmonstall.direct.beacon import Beacon

MAX_PEERS_NAMED = 16
"""Maximum number of peers that a beacon names."""


class BeaconBuilder:
    """Builds an entry's beacons, which it numbers, and the findings that go with them."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.sequence = 0

    def changes_datagrams(self):
        """Return the datagrams that carry the latest changes."""
        found = self.entry.state.findings_changes(self.peers.address, self.entry.now())
        limit = self.peers.pacer.max_changes_bytes(len(self.peers.peers))
        beacon = beacons.trim(self.make_changes_beacon(), limit)
        changes = self.report_changes(self.peers.reports.values())
        return self.encode(beacon, found) + changes

    def whole_datagrams(self):
        """Return the datagrams that carry the complete state."""
        found = self.entry.state.findings(self.peers.address, self.entry.now())
        now = self.entry.now()
        reports = [(kind, report.state(now)) for kind, report in self.peers.reports.items()]
        ended = self.entry.state.load_tracker.ended
        return self.encode(self.make_whole_beacon(), found, ended) + encode_reports(reports)

    def encode(self, beacon, found, ended=()):
        """Return the datagrams of a beacon and of the findings that go with it, if there are any.

        A large beacon is split; the attempts `ended` are then named as such.
        """
        encoded = []
        for part in beacons.split(beacon, ended):
            self.sequence += 1
            encoded.append(beacons.encode(attrs.evolve(part, sequence=self.sequence)))
        if found:
            encoded.append(findings.encode(found))
        return encoded

    def report_changes(self, reports):
        """Return the datagrams with the latest changes of some reports."""
        now = self.entry.now()
        return encode_reports([(report.kind, report.changes(now)) for report in reports])

    def announcement_datagrams(self):
        """Return the datagrams that name versions, and carry the changes of urgent reports."""
        urgent = [report for report in self.peers.reports.values() if report.urgent]
        return self.empty_datagrams() + self.report_changes(urgent)

    def empty_datagrams(self):
        """Return the datagrams of a beacon without changes."""
        beacon = attrs.evolve(self.make_changes_beacon(), attempts=(), ended=(), crashes=())
        return self.encode(beacon, None)

    def make_changes_beacon(self):
        """Return a beacon with the latest changes of this entry's attempts."""
        state, now = self.entry.state, self.entry.now()
        attempts, ended = state.load_tracker.local_changes()
        return Beacon(
            self.peers.address,
            self.peers.run_id,
            self.sequence,
            self.entry.leaving,
            *state.versions(),
            now - state.directory_seen_at,
            attempts,
            state.budget.local_state(now),
            state.crash_tracker.local_changes(),
            whole=False,
            ended=ended,
            link=self.peers.link,
            endpoints_digest=state.fleet.digest,
        )

    def make_whole_beacon(self):
        """Return a beacon with the complete state of this entry."""
        state, now = self.entry.state, self.entry.now()
        reported = state.observations.active
        return attrs.evolve(
            self.make_changes_beacon(),
            attempts=state.load_tracker.local_attempts(),
            crashes=state.crash_tracker.local_state(now),
            peers=self.some_addresses(),
            failure_scores=() if reported else state.failure_scores.local_state(now),
            slowdowns=() if reported else state.load_tracker.slowdowns.local_state(now),
            whole=True,
            ended=(),
        )

    def some_addresses(self):
        """Return addresses of active peers, different ones each time if there are many."""
        addresses = [peer.address for peer in self.peers.active()]
        if len(addresses) <= MAX_PEERS_NAMED:
            return tuple(addresses)
        return tuple(self.entry.clock.random.sample(addresses, MAX_PEERS_NAMED))


def encode_reports(reports):
    """Return the datagrams of (kind, fields) pairs; those without fields are left out."""
    return [datagrams.encode(kind, fields) for kind, fields in reports if fields is not None]
