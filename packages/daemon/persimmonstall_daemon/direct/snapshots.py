"""Exchange of snapshots: an entry that lacks news fetches them from a peer that has them."""

import aiohttp
from aiohttp import web

from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.snapshot import Snapshot
from persimmonstall.direct.updates import ConfigurationUpdate, EndpointChange, EndpointUpdate
from persimmonstall.failures import Failure

from ..bounded_http import open_session, read_body
from ..observe import logs
from .http_server import ShortRequestServer

CATCH_UP_DELAY_SECONDS = 0.15
"""Time for which a peer may have newer data before its snapshot is fetched."""

DIRECTORY_DELAY_SECONDS = 0.5
"""The same time while the directory answers, since it sends the data too."""

FETCH_TIMEOUT_SECONDS = 1.0
"""Timeout for fetching a snapshot."""

MAX_SNAPSHOT_BYTES = 1 << 24
"""Largest snapshot that is fetched, in bytes."""

SNAPSHOT_PATH = "/snapshot"
CONFIGURATION_QUERY = "configuration"
ENDPOINTS_QUERY = "endpoints"
"""Parameters of the request: the versions that the asking entry has."""


class SnapshotExchange:
    """Serves this entry's snapshot and fetches those of `peers` that are newer."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.log = logs.get("peers")
        self.behind_since = None
        self.session = None
        self.server = ShortRequestServer(self.serve)

    async def start(self, host, port):
        """Listen for requests and open the HTTP session."""
        await self.server.start(host, port)
        self.session = open_session(timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS))

    async def stop(self):
        """Close the sockets."""
        await self.session.close()
        await self.server.stop()

    def seconds_behind(self, now):
        """Return for how long a peer has had newer data, 0 if none has."""
        return 0.0 if self.behind_since is None else now - self.behind_since

    def newer_peer(self):
        """Return a random peer with a newer configuration or endpoint list, None if none has."""
        state = self.entry.state
        newer = [
            peer
            for peer in self.peers.active()
            if state.lacks(peer.configuration, peer.endpoints, peer.endpoints_digest)
        ]
        return self.entry.clock.random.choice(newer) if newer else None

    def catch_up_delay(self):
        """Return the time in seconds for which a peer may have newer data."""
        state = self.entry.state
        if not state.ready or self.entry.readers.told:
            return 0.0
        directory_answers = state.unreachable_since is None
        return DIRECTORY_DELAY_SECONDS if directory_answers else CATCH_UP_DELAY_SECONDS

    async def catch_up(self):
        """Fetch the snapshot of a peer that has had newer data for a while."""
        now = self.entry.now()
        peer = self.newer_peer()
        if peer is None:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < self.catch_up_delay():
            return
        if await self.fetch(peer):
            self.behind_since = None

    async def fetch(self, peer):
        """Fetch and apply what is newer in a peer's snapshot; return whether that succeeded."""
        url = f"http://{peer.address}{SNAPSHOT_PATH}"
        version, revision = self.entry.state.versions()
        known = {CONFIGURATION_QUERY: version, ENDPOINTS_QUERY: revision}
        try:
            async with self.session.get(url, params=known, allow_redirects=False) as response:
                data = await read_body(response, MAX_SNAPSHOT_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.warning("snapshot_failed", peer=peer.address, reason=repr(error))
            return False
        self.entry.metrics.count("direct_snapshot_bytes", len(data), tag="received")
        snapshot = snapshots.decode(data)
        if isinstance(snapshot, Failure):
            logs.log_failure(self.log, "snapshot_unreadable", snapshot)
            return False
        for update in (snapshot.evacuations, snapshot.configuration, snapshot.endpoints):
            if update is not None:
                self.entry.apply_update(update, source=peer.address)
        return True

    async def serve(self, request):
        """Return a snapshot of what this entry knows and the asking one lacks."""
        state = self.entry.state
        version, revision = state.versions()
        configuration = endpoints = None
        if version > version_in(request, CONFIGURATION_QUERY):
            configuration = ConfigurationUpdate(state.configuration)
        known = version_in(request, ENDPOINTS_QUERY)
        if revision > known:
            endpoints = self.endpoints_since(known)
        evacuations = state.evacuations.snapshot(self.entry.now())
        body = snapshots.encode(Snapshot(configuration, endpoints, evacuations))
        self.entry.metrics.count("direct_snapshot_bytes", len(body), tag="sent")
        return web.Response(body=body, content_type="application/octet-stream")

    def endpoints_since(self, revision):
        """Return the `EndpointUpdate` of an entry that has the list as of `revision`.

        Endpoints that are missing from the list are left out, though this entry may still use
        them: how long they are used is for each entry to decide.
        """
        fleet = self.entry.state.fleet
        restored = fleet.is_restoring(self.entry.now())
        names = None if restored else fleet.changed_since(revision)
        whole = names is None
        if whole:
            names = [name for name in fleet.endpoints if name not in fleet.missing]
        changes = tuple(EndpointChange(name, fleet.listed(name)) for name in names)
        return EndpointUpdate(changes, fleet.revision, whole, restored)


def version_in(request, name):
    """Return a version that a request names, -1 if it names none."""
    text = request.query.get(name, "")
    return int(text) if text.isdecimal() else -1
