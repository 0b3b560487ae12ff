"""Exchange of snapshots: an entry that lacks news fetches them from a peer that has them."""

import aiohttp
from aiohttp import web

from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.snapshot import Snapshot
from persimmonstall.direct.updates import ConfigurationUpdate, EndpointChange, EndpointUpdate
from persimmonstall.failures import Failure

from ..observe import logs

CATCH_UP_DELAY_SECONDS = 0.15
"""Time for which a peer may have newer data before its snapshot is fetched."""

FETCH_TIMEOUT_SECONDS = 1.0
"""Timeout for fetching a snapshot."""

SNAPSHOT_PATH = "/snapshot"


class SnapshotExchange:
    """Serves this entry's snapshot and fetches those of `peers` that are newer."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.log = logs.get("peers")
        self.behind_since = None
        self.session = None
        self.runner = None

    async def start(self, host, port):
        """Listen for requests and open the HTTP session."""
        self.runner = web.ServerRunner(web.Server(self.serve, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        )

    async def stop(self):
        """Close the sockets."""
        await self.session.close()
        await self.runner.cleanup()

    def newer_peer(self):
        """Return a peer with a newer configuration or endpoint list than this entry, or None."""
        state = self.entry.state
        version = state.configuration.version if state.configuration else 0
        revision = state.fleet.revision if state.endpoints_known else 0
        for peer in self.peers.active():
            if peer.configuration > version or peer.endpoints > revision:
                return peer
        return None

    async def catch_up(self):
        """Fetch the snapshot of a peer that has had newer data for a while."""
        now = self.entry.now()
        peer = self.newer_peer()
        if peer is None:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if self.entry.state.ready and now - self.behind_since < CATCH_UP_DELAY_SECONDS:
            return
        self.behind_since = None
        await self.fetch(peer)

    async def fetch(self, peer):
        """Fetch and apply a peer's snapshot."""
        url = f"http://{peer.address}{SNAPSHOT_PATH}"
        try:
            async with self.session.get(url) as response:
                data = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.warning("snapshot_failed", peer=peer.address, reason=repr(error))
            return
        self.entry.metrics.count("direct_snapshot_bytes", len(data), tag="received")
        snapshot = snapshots.decode(data)
        if isinstance(snapshot, Failure):
            logs.log_failure(self.log, "snapshot_unreadable", snapshot)
            return
        for update in (snapshot.configuration, snapshot.endpoints):
            if update is not None:
                self.entry.apply_update(update, source=peer.address)

    async def serve(self, _request):
        """Return a snapshot of the configuration and endpoints that this entry knows."""
        state = self.entry.state
        configuration = endpoints = None
        if state.configuration is not None:
            configuration = ConfigurationUpdate(state.configuration)
        if state.endpoints_known:
            changes = tuple(EndpointChange(n, e) for n, e in state.fleet.endpoints.items())
            endpoints = EndpointUpdate(changes, state.fleet.revision, whole=True)
        body = snapshots.encode(Snapshot(configuration, endpoints))
        self.entry.metrics.count("direct_snapshot_bytes", len(body), tag="sent")
        return web.Response(body=body, content_type="application/octet-stream")
