"""What entries tell each other: beacons by datagram, snapshots on request.

Beacons carry the whole of what others need, so that a lost one is made good by the next.  They
go out at once after a call is placed, shortly after other changes, and at intervals.
"""

import asyncio

import aiohttp
import attrs
from aiohttp import web

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.beacon import Beacon
from persimmonstall.direct.snapshot import Snapshot
from persimmonstall.direct.updates import ConfigurationUpdate, EndpointChange, EndpointUpdate
from persimmonstall.failures import Failure

from ..observe import logs

URGENT_SECONDS = 0.0
"""Delay of a beacon after a call was placed; calls placed in one turn of the loop share it."""

CHANGE_SECONDS = 0.025
"""Delay of a beacon after any other change."""

MANY_PEERS = 12
"""Peers above which changes wait a little longer, so that narrow links are not filled."""

MANY_URGENT_SECONDS = 0.02
MANY_CHANGE_SECONDS = 0.15
"""The same delays among many peers."""

MIN_INTERVAL = 0.1
INTERVAL_PER_PEER = 0.012
"""Time between beacons without a change: seconds, and seconds for each peer."""

SILENT_SECONDS = 3.0
"""Silence after which a peer no longer counts as heard."""

FORGET_SECONDS = 15.0
"""Silence after which a peer is no longer told anything."""

LONELY_SECONDS = 5.0
"""Time between introductions while no peer is heard."""

BEHIND_SECONDS = 0.15
"""Time for which a peer may know more before its snapshot is fetched."""

FETCH_SECONDS = 1.0
"""Time to fetch a snapshot."""

SNAPSHOT_PATH = "/snapshot"


@attrs.define
class Peer:
    """Another entry; `heard` is None until it has been heard."""

    address: str
    run: int = 0
    sequence: int = 0
    heard: float | None = None
    named: float = 0.0
    configuration: int = 0
    endpoints: int = 0
    leaving: bool = False


class Beacons(asyncio.DatagramProtocol):
    """Receives datagrams for `peers`."""

    def __init__(self, peers):
        self.peers = peers

    def datagram_received(self, data, _address):
        """Take in one beacon."""
        self.peers.on_datagram(data)

    def error_received(self, error):
        """Note that a datagram could not be sent; the next one may be."""
        self.peers.log.debug("datagram_refused", reason=repr(error))


class Peers:
    """The other entries: who they are, what they do and what they know."""

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("peers")
        self.address = entry.settings.daemon.address
        self.run_id = entry.clock.random.getrandbits(48)
        self.sequence = 0
        self.peers = {}
        self.transport = None
        self.timer = None
        self.due = 0.0
        self.behind_since = None
        self.session = None
        self.runner = None

    async def start(self):
        """Listen for beacons and for those who fetch a snapshot."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Beacons(self), local_addr=(host, int(port))
        )
        self.runner = web.ServerRunner(web.Server(self.serve_snapshot, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, host, int(port)).start()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=FETCH_SECONDS))
        for seed in self.entry.settings.direct.seeds:
            self.name(f"{seed.rpartition(':')[0]}:{port}")

    async def stop(self):
        """Close the sockets."""
        self.transport.close()
        await self.session.close()
        await self.runner.cleanup()

    def name(self, address):
        """Note that there may be an entry at `address`."""
        if address == self.address:
            return
        peer = self.peers.setdefault(address, Peer(address))
        peer.named = self.entry.now()

    def active(self):
        """Return the peers heard lately."""
        now = self.entry.now()
        return [
            peer
            for peer in self.peers.values()
            if peer.heard is not None and now - peer.heard <= SILENT_SECONDS
        ]

    def changed(self, urgent):
        """Send a beacon soon; at once when a call was placed."""
        if len(self.peers) > MANY_PEERS:
            delay = MANY_URGENT_SECONDS if urgent else MANY_CHANGE_SECONDS
        else:
            delay = URGENT_SECONDS if urgent else CHANGE_SECONDS
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        if self.timer is not None:
            if self.due <= due:
                return
            self.timer.cancel()
        self.due = due
        self.timer = loop.call_at(due, self.tell)

    def tell(self, introduce=False):
        """Send a beacon to every peer; `introduce` names them all to each other."""
        self.timer = None
        if self.transport is None or self.transport.is_closing():
            return
        data = beacons.encode(self.make_beacon(introduce))
        for peer in self.peers.values():
            host, _, port = peer.address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
        self.entry.metrics.count("direct_beacons", len(self.peers), tag="sent")

    def make_beacon(self, introduce):
        """Return what this entry tells now."""
        state, now = self.entry.state, self.entry.now()
        named = introduce or len(self.peers) <= MANY_PEERS
        self.sequence += 1
        return Beacon(
            self.address,
            self.run_id,
            self.sequence,
            self.entry.leaving,
            state.configuration.version if state.configuration else 0,
            state.fleet.version if state.endpoints_known else 0,
            now - state.directory_seen_at,
            state.load_tracker.local_attempts(),
            state.budget.local_state(now),
            state.crash_tracker.local_state(),
            tuple(peer.address for peer in self.active()) if named else (),
            state.failure_scores.local_state(now),
            state.load_tracker.slowdowns.local_state(now),
        )

    def on_datagram(self, data):
        """Take in a beacon; one that is older than the last of its sender is dropped."""
        beacon = beacons.decode(data)
        if isinstance(beacon, Failure):
            logs.log_failure(self.log, "beacon_unreadable", beacon)
            return
        if beacon.address == self.address:
            return
        peer = self.peers.setdefault(beacon.address, Peer(beacon.address))
        if peer.run == beacon.run and beacon.sequence <= peer.sequence:
            return
        if peer.heard is None or peer.run != beacon.run:
            self.log.info("peer_found", peer=beacon.address, run=beacon.run)
            self.changed(True)
        peer.run, peer.sequence = beacon.run, beacon.sequence
        peer.heard = peer.named = self.entry.now()
        peer.configuration, peer.endpoints = beacon.configuration, beacon.endpoints
        peer.leaving = beacon.leaving
        for address in beacon.peers:
            if address not in self.peers:
                self.name(address)
        self.entry.metrics.count("direct_beacons", tag="received")
        self.learn(beacon)

    def learn(self, beacon):
        """Take what a beacon says into this entry's state."""
        state, now = self.entry.state, self.entry.now()
        state.load_tracker.merge_remote(beacon.address, beacon.attempts, now)
        state.budget.merge_remote(beacon.address, beacon.retry_usage)
        state.crash_tracker.merge_remote(beacon.crash_counts, now)
        state.failure_scores.merge_remote(beacon.failure_scores, now)
        state.load_tracker.slowdowns.merge_remote(beacon.slowdowns, now)
        state.peer_saw_directory(now - beacon.directory_age)

    async def run(self):
        """Tell the others at intervals, fetch what they know better, drop those that are gone."""
        introduced = -LONELY_SECONDS
        while True:
            self.tell(introduce=True)
            self.expire()
            await self.catch_up()
            now = self.entry.now()
            if not self.active() and now - introduced > LONELY_SECONDS:
                introduced = now
                await self.introduce()
            pause = max(MIN_INTERVAL, INTERVAL_PER_PEER * len(self.peers))
            await asyncio.sleep(self.entry.clock.jitter(pause))

    async def introduce(self):
        """Learn of other entries from the directory, and leave this one's address there."""
        found = await self.entry.directory.register(self.address)
        if isinstance(found, Failure):
            logs.log_failure(self.log, "introduction_failed", found)
            return
        for address in found:
            self.name(address)
        self.log.info("introduced", peers=len(found))

    def expire(self):
        """Drop peers that have been silent for long; count those that are heard."""
        now = self.entry.now()
        for address, peer in list(self.peers.items()):
            if now - peer.named > FORGET_SECONDS:
                del self.peers[address]
                self.entry.state.budget.forget(address)
                self.log.info("peer_lost", peer=address)
        self.entry.metrics.gauge("direct_peers", len(self.active()))

    def better(self):
        """Return a peer that knows a newer configuration or list than this entry, or None."""
        state = self.entry.state
        version = state.configuration.version if state.configuration else 0
        revision = state.fleet.version if state.endpoints_known else 0
        for peer in self.active():
            if peer.configuration > version or peer.endpoints > revision:
                return peer
        return None

    async def catch_up(self):
        """Fetch the snapshot of a peer that has known more for a while."""
        now = self.entry.now()
        peer = self.better()
        if peer is None:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if self.entry.state.ready and now - self.behind_since < BEHIND_SECONDS:
            return
        self.behind_since = None
        await self.fetch(peer)

    async def fetch(self, peer):
        """Take in a peer's snapshot."""
        url = f"http://{peer.address}{SNAPSHOT_PATH}"
        try:
            async with self.session.get(url) as response:
                snapshot = snapshots.decode(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.warning("snapshot_failed", peer=peer.address, reason=repr(error))
            return
        if isinstance(snapshot, Failure):
            logs.log_failure(self.log, "snapshot_unreadable", snapshot)
            return
        for update in (snapshot.configuration, snapshot.endpoints):
            if update is not None:
                self.entry.apply_update(update, source=peer.address)

    async def serve_snapshot(self, _request):
        """Hand out what this entry knows."""
        state = self.entry.state
        configuration = endpoints = None
        if state.configuration is not None:
            configuration = ConfigurationUpdate(state.configuration)
        if state.endpoints_known:
            changes = tuple(EndpointChange(n, e) for n, e in state.fleet.endpoints.items())
            endpoints = EndpointUpdate(changes, state.fleet.version, whole=True)
        body = snapshots.encode(Snapshot(configuration, endpoints))
        return web.Response(body=body, content_type="application/octet-stream")
