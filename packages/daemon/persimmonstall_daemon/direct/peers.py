"""Gossip between entries by datagrams: their beacons, and findings about endpoints.

Beacons are sent at once after urgent changes, above all when a call is placed, shortly after other
changes, and periodically.  Most carry only the latest changes of attempts; each peer also gets the
complete state at intervals, which makes up for lost datagrams.  Findings and reports go with the
beacons in datagrams of their own, which earlier versions ignore.  A pacer keeps all within a share
of the slowest link.  Addresses that have not answered yet only get empty beacons, as greetings.
"""

import asyncio
import math

from persimmonstall.direct.addresses import is_address
from persimmonstall.direct.beacon_pacing import BeaconPacer, heartbeat_interval
from persimmonstall.direct.strangers import Strangers

from ..observe import logs
from .beacon_builder import BeaconBuilder
from .datagram_inbox import DatagramInbox
from .peer import Peer
from .registration import Registration
from .snapshots import SnapshotExchange

URGENT_DELAY_SECONDS = 0.0
"""Delay of a beacon after an urgent change; calls placed in one loop iteration share it."""

CHANGE_DELAY_SECONDS = 0.025
"""Delay of a beacon after any other change."""

MANY_PEERS = 12
"""Number of peers above which beacons are delayed longer, to save bandwidth on slow links."""

MANY_PEERS_URGENT_DELAY_SECONDS = 0.02
MANY_PEERS_CHANGE_DELAY_SECONDS = 0.15
"""The same delays with more than `MANY_PEERS` peers."""

MAX_PAUSE_SECONDS = 1.3
"""Time after which an empty beacon is sent although the link's share is used up, so that a second
one comes before this entry counts as silent."""

ANNOUNCEMENT_SECONDS = 0.1
"""Shortest interval of announcements, which are sent although the link's share is used up."""

MIN_WAIT_SECONDS = 0.01
"""Wait up to which beacons are not held back, as timers are inexact."""

REMOVAL_TIMEOUT_SECONDS = 15.0
"""Silence after which a peer is removed and no more beacons are sent to it."""

DISCOVERY_INTERVAL_SECONDS = 5.0
"""Interval at which an entry without active peers looks for others in the directory."""

BYTES_PER_MEGABIT = 125_000


class Peers:
    """The other entries, and the exchange of beacons with them.

    `peers` are those that were heard, by address; `strangers` are addresses of possible others.
    """

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("peers")
        self.address = entry.settings.daemon.address
        self.run_id = entry.clock.random.getrandbits(48)
        self.builder = BeaconBuilder(entry, self)
        self.peers = {}
        self.strangers = Strangers()
        self.registration = Registration(entry, self)
        self.reports = {}
        self.transport = None
        self.timer = None
        self.due = 0.0
        self.sent_at = 0.0
        self.urgent_since = None
        self.announced_at = -math.inf
        self.announcement = None
        self.pacer = BeaconPacer()
        self.snapshots = SnapshotExchange(entry, self)
        self.inbox = DatagramInbox(entry, self)

    async def start(self):
        """Listen for beacons and requests for snapshots, and add the seeds as peers."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self.inbox, local_addr=(host, int(port))
        )
        await self.snapshots.start(host, int(port))
        for seed in self.entry.settings.direct.seeds:
            self.add_peer(f"{seed.rpartition(':')[0]}:{port}")

    async def stop(self):
        """Close the sockets."""
        self.transport.close()
        await self.snapshots.stop()

    def add_report(self, report):
        """Exchange a `Report` with the other entries."""
        self.reports[report.kind] = report

    def add_peer(self, address, first=False):
        """Add a peer that may exist at `address`, or update when it was last named.

        What is no address, such as the key of another writer's row, is ignored.

        Of strangers those added `first` are greeted first.
        """
        if address == self.address or not is_address(address):
            return
        peer = self.peers.get(address)
        if peer is None:
            self.strangers.add(address, self.entry.now(), first)
        else:
            peer.last_named = self.entry.now()

    def meet(self, address):
        """Return the peer at `address`, which is no stranger any more."""
        self.strangers.remove(address)
        return self.peers.setdefault(address, Peer(address))

    def active(self):
        """Return the active peers: those with a recent beacon."""
        now = self.entry.now()
        return [peer for peer in self.peers.values() if peer.is_active(now)]

    @property
    def link(self):
        """The bandwidth of this entry's link in bytes per second."""
        return self.entry.settings.direct.link_mbps * BYTES_PER_MEGABIT

    def schedule_beacon(self, urgent):
        """Schedule a beacon; after an `urgent` change, such as a new attempt, it goes sooner."""
        if urgent and self.urgent_since is None:
            self.urgent_since = self.entry.now()
        if len(self.peers) > MANY_PEERS:
            delay = MANY_PEERS_URGENT_DELAY_SECONDS if urgent else MANY_PEERS_CHANGE_DELAY_SECONDS
        else:
            delay = URGENT_DELAY_SECONDS if urgent else CHANGE_DELAY_SECONDS
        self.schedule_in(delay)

    def schedule_in(self, delay):
        """Schedule a beacon in `delay` seconds, or as soon after it as the link allows."""
        loop = asyncio.get_running_loop()
        now = self.entry.now()
        pause = min(self.pacer.wait(now), max(0.0, self.sent_at + MAX_PAUSE_SECONDS - now))
        due = loop.time() + max(delay, pause)
        if self.timer is not None:
            if self.due <= due:
                return
            self.timer.cancel()
        self.due = due
        self.timer = loop.call_at(due, self.send_beacons)

    def send_beacons(self):
        """Send a beacon to every peer: the complete state where it is due, else the changes."""
        self.timer = None
        if self.transport is None or self.transport.is_closing():
            return
        self.pacer.set_links(
            [self.link, *(peer.link for peer in self.peers.values())], self.entry.now()
        )
        self.sent_at = self.entry.now()
        if self.pacer.wait(self.sent_at) > MIN_WAIT_SECONDS:
            self.send_empty_beacons()
            return
        changes = self.builder.changes_datagrams()
        informed = self.send_whole_states()
        for peer in self.peers.values():
            if peer.address not in informed:
                self.send_all(peer, changes)
        self.record_changes_sent()
        self.greet_strangers()

    def greet_strangers(self):
        """Send an empty beacon to some of the addresses that have not answered yet."""
        greeted = self.strangers.next_greeted(self.entry.now())
        if greeted:
            (greeting,) = self.builder.empty_datagrams()
            for address in greeted:
                self.send(address, greeting)

    def send_empty_beacons(self):
        """Send a beacon without changes to every peer; they follow when the link allows it."""
        self.send_to_all(self.builder.empty_datagrams())

    def send_to_all(self, batch):
        """Send the same datagrams to every peer, though other changes wait."""
        for peer in self.peers.values():
            self.send_all(peer, batch)
        self.schedule_in(0.0)

    def announce(self):
        """Tell every peer the versions that this entry is the first to have, and what is urgent.

        It is not held back by the link's share, since the time of a change is bounded.
        """
        wait = self.announced_at + ANNOUNCEMENT_SECONDS - self.entry.now()
        if wait <= 0.0:
            self.send_announcement()
        elif self.announcement is None:
            loop = asyncio.get_running_loop()
            self.announcement = loop.call_later(wait, self.send_announcement)

    def send_announcement(self):
        """Send beacons that only name versions, and what is urgent."""
        self.announcement = None
        if self.transport is None or self.transport.is_closing():
            return
        self.announced_at = self.entry.now()
        self.send_to_all(self.builder.announcement_datagrams())

    def send_whole_states(self):
        """Send the complete state to those who waited longest for it; return their addresses."""
        now = self.entry.now()
        due = [peer for peer in self.peers.values() if peer.whole_due <= now]
        if not due:
            return set()
        whole = self.builder.whole_datagrams()
        size = sum(map(len, whole))
        due.sort(key=lambda peer: peer.whole_due)
        del due[self.pacer.max_whole_states(size) :]
        interval = self.pacer.whole_interval(size, len(self.peers))
        for peer in due:
            peer.whole_due = now + self.entry.clock.jitter(interval)
            self.send_all(peer, whole)
        return {peer.address for peer in due}

    def send_all(self, peer, batch):
        """Send several datagrams to a peer."""
        for data in batch:
            self.send(peer.address, data)

    def send(self, address, data):
        """Send one datagram to the entry at `address`."""
        host, _, port = address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))
        self.pacer.record_sent(len(data), self.entry.now())
        self.entry.metrics.count("direct_beacons", tag="sent")
        self.entry.metrics.count("direct_beacon_bytes", len(data), tag="sent")

    def record_changes_sent(self):
        """Record that the changes up to now were sent, and how long an urgent one waited."""
        self.entry.state.mark_changes_sent()
        for report in self.reports.values():
            report.mark_sent()
        if self.urgent_since is not None:
            waited = self.entry.now() - self.urgent_since
            self.entry.state.load_tracker.unseen.record_delay(waited)
            self.urgent_since = None

    async def run(self):
        """Exchange beacons, and fetch newer snapshots."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.beat())
            group.create_task(self.snapshots.follow(self.heartbeat_pause))

    def heartbeat_pause(self):
        """Return the seconds until the next beacon without a change."""
        return self.entry.clock.jitter(heartbeat_interval(len(self.peers)))

    async def beat(self):
        """Send beacons periodically and remove peers that are gone."""
        last_discovery = -DISCOVERY_INTERVAL_SECONDS
        while True:
            self.schedule_in(0.0)
            self.expire()
            now = self.entry.now()
            if not self.active() and now - last_discovery > DISCOVERY_INTERVAL_SECONDS:
                last_discovery = now
                await self.registration.register()
            await asyncio.sleep(self.heartbeat_pause())

    def expire(self):
        """Remove peers that have been silent for long; update the gauge of active peers."""
        now = self.entry.now()
        self.entry.ownership.record_heard()
        self.strangers.expire(now)
        for address, peer in list(self.peers.items()):
            if now - peer.last_named > REMOVAL_TIMEOUT_SECONDS:
                del self.peers[address]
                self.entry.state.forget_peer(address)
                self.log.info("peer_lost", peer=address)
        self.entry.metrics.gauge("direct_peers", len(self.active()))
