"""Exchange of snapshots: an entry that lacks news fetches them from a peer that has them."""

import asyncio
import zlib

import aiohttp
from aiohttp import web

from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.snapshot import Snapshot
from persimmonstall.direct.updates import (
    ConfigurationUpdate,
    EndpointChange,
    EndpointUpdate,
)
from persimmonstall.failures import Failure

from ..bounded_body import read_body
from ..bounded_http import describe, open_session
from ..observe import logs
from .http_server import ShortRequestServer

CATCH_UP_DELAY_SECONDS = 0.15
"""Time for which a peer may have newer data before its snapshot is fetched."""

DIRECTORY_DELAY_SECONDS = 0.5
"""The same time while the directory answers, since it sends the data too."""

RETRY_SECONDS = 0.05
"""Pause after a fetch that failed, before another peer is asked."""

SPREAD_PEERS = 12
"""Number of peers above which the requests for the same news are spread over time."""

FAST_LINK_SHARE = 0.5
"""Share of the fastest link of the peers that have news from which on a peer is asked for them."""

COMPRESSION_LEVEL = 1
CONTENT_ENCODING = "deflate"
"""Routes resemble each other: a configuration of a thousand is sent in a tenth of its bytes."""

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
        self.failed_peers = set()
        self.news = asyncio.Event()
        self.body = b""
        self.body_of = None
        self.session = None
        self.server = ShortRequestServer(self.serve, entry.memory)

    async def start(self, host, port):
        """Listen for requests and open the HTTP session."""
        await self.server.start(host, port)
        self.session = open_session()

    async def stop(self):
        """Close the sockets."""
        await self.session.close()
        await self.server.stop()

    def seconds_behind(self, now):
        """Return for how long a peer has had newer data, 0 if none has."""
        return 0.0 if self.behind_since is None else now - self.behind_since

    def newer_peer(self):
        """Return a random peer with newer data, one with a fast link, or None if there is none.

        One that has the newest configuration is preferred.  Peers that did not send what they have
        are asked again once no others have it.
        """
        newer = [peer for peer in self.peers.active() if self.lacks(peer)]
        if not newer:
            return None
        newer = [peer for peer in newer if peer.address not in self.failed_peers] or newer
        version, _ = self.entry.state.versions()
        newest = max(peer.configuration for peer in newer)
        if newest > version:
            newer = [peer for peer in newer if peer.configuration == newest]
        needed = FAST_LINK_SHARE * max(peer.link for peer in newer)
        return self.entry.clock.random.choice([peer for peer in newer if peer.link >= needed])

    def lacks(self, peer):
        """Return whether a peer has data that this entry lacks."""
        state = self.entry.state
        return state.lacks(peer.configuration, peer.endpoints, peer.endpoints_digest)

    def wake(self):
        """Note that a peer has newer data."""
        self.news.set()

    async def follow(self, longest_pause):
        """Fetch newer data as soon as a peer has some; `longest_pause()` is in seconds."""
        while True:
            try:
                async with asyncio.timeout(self.pause(longest_pause())):
                    await self.news.wait()
                await asyncio.sleep(self.spread_delay())
            except TimeoutError:
                pass
            self.news.clear()
            await self.catch_up()

    def pause(self, longest):
        """Return the seconds until `catch_up` is due without other news, up to `longest`."""
        if self.behind_since is None:
            return longest
        due = self.behind_since + self.catch_up_delay()
        return min(longest, max(RETRY_SECONDS, due - self.entry.now()))

    def spread_delay(self):
        """Return a random delay in seconds, so that entries do not all ask at the same moment."""
        if len(self.peers.peers) <= SPREAD_PEERS:
            return 0.0
        return self.entry.clock.random.random() * self.entry.readers.rule.spread_seconds

    def catch_up_delay(self):
        """Return the time in seconds for which a peer may have newer data."""
        state = self.entry.state
        if not state.ready or self.entry.readers.told:
            return 0.0
        directory_answers = state.unreachable_since is None
        return DIRECTORY_DELAY_SECONDS if directory_answers else CATCH_UP_DELAY_SECONDS

    async def catch_up(self):
        """Fetch the snapshot of a peer that has had newer data for a while.

        What was fetched may not be all that others have, and then there is no new wait.
        """
        now = self.entry.now()
        peer = self.newer_peer()
        if peer is not None and self.behind_since is None:
            self.behind_since = now
        if peer is not None and now - self.behind_since >= self.catch_up_delay():
            if not await self.fetch(peer) or self.lacks(peer):
                self.failed_peers.add(peer.address)
            peer = self.newer_peer()
        if peer is None:
            self.behind_since = None
            self.failed_peers.clear()

    async def fetch(self, peer):
        """Fetch and apply what is newer in a peer's snapshot; return whether that succeeded."""
        url = f"http://{peer.address}{SNAPSHOT_PATH}"
        version, revision = self.entry.state.versions()
        known = {CONFIGURATION_QUERY: version, ENDPOINTS_QUERY: revision}
        timeout = aiohttp.ClientTimeout(total=self.entry.readers.rule.fetch_seconds)
        try:
            async with self.session.get(
                url, params=known, allow_redirects=False, timeout=timeout
            ) as response:
                data = await read_body(response, MAX_SNAPSHOT_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.warning("snapshot_failed", peer=peer.address, reason=describe(error))
            return False
        self.entry.metrics.count("direct_snapshot_bytes", len(data), tag="received")
        snapshot = snapshots.decode(data)
        if isinstance(snapshot, Failure):
            logs.log_failure(self.log, "snapshot_unreadable", snapshot)
            return False
        for update in (snapshot.evacuations, snapshot.configuration, snapshot.endpoints):
            if update is not None:
                self.entry.apply_update(update, source=peer.address)
        self.log_fetched(peer, version, snapshot)
        return True

    def log_fetched(self, peer, version, snapshot):
        """Log what a peer's snapshot brought to an entry that had configuration `version`."""
        configuration, endpoints = snapshot.configuration, snapshot.endpoints
        self.log.info(
            "snapshot_fetched",
            peer=peer.address,
            had=version,
            named=peer.configuration,
            configuration=configuration.configuration.version if configuration else None,
            endpoints_revision=endpoints.revision if endpoints else None,
            behind_ms=round(self.seconds_behind(self.entry.now()) * 1000),
        )

    async def serve(self, request):
        """Return a snapshot of what this entry knows and the asking one lacks.

        Many entries ask for the same news at the same time, so the last answer is kept.
        """
        known = (
            version_in(request, CONFIGURATION_QUERY),
            version_in(request, ENDPOINTS_QUERY),
        )
        compressed = CONTENT_ENCODING in request.headers.get("Accept-Encoding", "")
        state = self.entry.state
        subject = (*state.versions(), state.evacuations.revision, *known, compressed)
        restoring = state.fleet.is_restoring(self.entry.now())
        if self.body_of != subject or restoring:
            body = snapshots.encode(self.snapshot_since(*known))
            self.body = zlib.compress(body, COMPRESSION_LEVEL) if compressed else body
            self.body_of = subject
        self.entry.metrics.count("direct_snapshot_bytes", len(self.body), tag="sent")
        headers = {"Content-Encoding": CONTENT_ENCODING} if compressed else None
        return web.Response(
            body=self.body, headers=headers, content_type="application/octet-stream"
        )

    def snapshot_since(self, known_version, known_revision):
        """Return the `Snapshot` for an entry that has these versions."""
        state = self.entry.state
        version, revision = state.versions()
        configuration = endpoints = None
        if version > known_version:
            configuration = ConfigurationUpdate(state.configuration)
        if revision > known_revision:
            endpoints = self.endpoints_since(known_revision)
        evacuations = state.evacuations.snapshot(self.entry.now())
        return Snapshot(configuration, endpoints, evacuations)

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
        stamps = fleet.departures.stamps
        changes = tuple(
            EndpointChange(name, fleet.listed(name), stamps.get(name)) for name in names
        )
        first_read = fleet.departures.first_read
        return EndpointUpdate(changes, fleet.revision, whole, restored, first_read)


def version_in(request, name):
    """Return a version that a request names, -1 if it names none."""
    text = request.query.get(name, "")
    return int(text) if text.isdecimal() else -1
