"""The task that keeps a daemon's catalogue at the newest known version."""

import asyncio
from collections import deque

import msgspec

from persimmonstall.catalogue.snapshot import Catalogue, decode_change, encode_change
from persimmonstall.catalogue.sync_state import SyncState, SyncStep
from persimmonstall.failures import Failure
from persimmonstall.messages.control import CatalogueChanges, CatalogueRequest

from .reader import CatalogueReader

MAX_RECENT_CHANGES = 512
RETRY_FRACTION = 0.25
"""Fraction of the poll interval to wait while the catalogue is out of date or not ready."""


class CatalogueFollower:
    """Holds the active catalogue as `current`, where every task of the daemon reads it.

    The queues in `subscribers` get each list of applied `Change`s, or None when the whole
    catalogue was replaced.  `ready` is set once the daemon may serve with its catalogue.
    It stays set: a daemon that loses its connections later keeps serving with what it has.
    """

    def __init__(self, settings, table, objects, context, peers, invariants=None):
        self.settings = settings
        self.context = context
        self.peers = peers
        self.invariants = invariants
        self.reader = CatalogueReader(settings, table, objects)
        self.current = Catalogue()
        self.sync_state = SyncState()
        self.ready = asyncio.Event()
        self.wake = asyncio.Event()
        self.subscribers = []
        self.recent_changes = deque(maxlen=MAX_RECENT_CHANGES)
        self.version_source = ""
        self.steps = {
            SyncStep.READ_LOG: self.read_log,
            SyncStep.READ_RECORDS: self.read_records,
            SyncStep.ASK_PEERS: self.ask_peers,
        }

    @property
    def version(self):
        """The version of the active catalogue."""
        return self.current.version

    def subscribe(self):
        """Return a new queue that gets every change applied from now on."""
        queue = asyncio.Queue()
        self.subscribers.append(queue)
        return queue

    def unsubscribe(self, queue):
        """Remove a queue that `subscribe` returned."""
        self.subscribers.remove(queue)

    def note_version(self, version, peer=""):
        """Record the version in a message of `peer`; a newer one is fetched at once."""
        if self.sync_state.note_version(version):
            self.version_source = peer
            self.wake.set()

    def apply_committed(self, change):
        """Apply a committed change, or fetch the changes that are missing before it."""
        if change.version == self.version + 1:
            self.apply([change])
        self.note_version(change.version)

    async def run(self):
        """Keep the catalogue up to date until cancelled."""
        await self.start()
        while True:
            await self.pause()
            await self.poll()

    async def start(self):
        """Query the table and the peers until the newest version that they know is active."""
        while True:
            await asyncio.gather(self.poll_version(), self.ask_peers())
            await self.advance()
            if self.ready.is_set():
                return
            await self.load_stored_snapshot()
            await self.pause()

    async def pause(self):
        """Wait for the next poll, or until a peer reports a newer version."""
        seconds = self.context.jitter(self.settings.platform.poll)
        if self.sync_state.is_behind() or not self.ready.is_set():
            seconds *= RETRY_FRACTION
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    async def poll(self):
        """Read the newest version and fetch the missing changes."""
        await self.poll_version()
        await self.advance()

    async def poll_version(self):
        """Read the version row and record whether the table answered."""
        version = await self.reader.version()
        self.sync_state.table_up = not isinstance(version, Failure)
        if self.sync_state.table_up:
            self.sync_state.note_version(version)

    async def advance(self):
        """Run sync steps until nothing is missing or no step makes progress."""
        while self.sync_state.is_behind():
            before = self.progress()
            step = self.sync_state.next_step()
            await self.steps[step]()
            if self.progress() == before and step is not SyncStep.ASK_PEERS:
                await self.ask_peers()
            if self.progress() == before:
                break
        if self.sync_state.is_ready():
            self.ready.set()

    def progress(self):
        """Return a value that changes whenever a step makes progress."""
        return self.version, self.sync_state.log_gap

    async def read_log(self):
        """Apply the logged changes after the active version."""
        changes = await self.reader.changes(self.version)
        if isinstance(changes, Failure):
            self.sync_state.table_up = False
            return
        self.apply(changes)

    def apply(self, changes):
        """Apply `changes`, oldest first, skipping those that are already active."""
        fresh = [change for change in changes if change.version > self.version]
        applied = []
        for change in fresh:
            if not self.current.apply(change):
                self.sync_state.log_gap = True
                break
            applied.append(change)
        self.recent_changes.extend(applied)
        if applied:
            self.on_new_version(applied)

    async def read_records(self):
        """Load the whole catalogue from the object store, or else from the table's rows."""
        catalogue = await self.reader.snapshot()
        if isinstance(catalogue, Catalogue) and catalogue.version > self.version:
            self.activate(catalogue)
            return
        catalogue = await self.reader.records()
        if isinstance(catalogue, Catalogue):
            self.activate(catalogue)

    async def load_stored_snapshot(self):
        """Load the newest stored snapshot while neither the table nor a peer answers.

        This does not make the daemon ready, since the snapshot may be stale.
        """
        if self.version:
            return
        newest = await self.reader.load_newest_snapshot()
        if isinstance(newest, Catalogue):
            self.activate(newest)

    def activate(self, catalogue):
        """Activate a whole catalogue if its version is newer."""
        if catalogue.version <= self.version:
            return
        self.current = catalogue
        self.recent_changes.clear()
        self.on_new_version(None)

    def on_new_version(self, changes):
        """Record the newly active version and notify the subscribers."""
        forward = self.sync_state.note_applied(self.version)
        if self.invariants:
            self.invariants.check("catalogue_never_reverts", forward, str(self.version))
        for queue in self.subscribers:
            queue.put_nowait(changes)

    async def ask_peers(self):
        """Fetch the changes after the active version from a peer and apply them."""
        answer = await self.peers.request(CatalogueRequest(self.version), self.version_source)
        self.version_source = ""
        if isinstance(answer, CatalogueChanges):
            self.apply_answer(answer)

    def apply_answer(self, answer):
        """Activate the changes or the whole catalogue in a peer's response."""
        self.sync_state.note_version(answer.version)
        try:
            if answer.whole:
                self.activate(Catalogue.load(answer.records[0]))
            else:
                self.apply([decode_change(record) for record in answer.records])
        except (msgspec.MsgspecError, KeyError, ValueError, IndexError):
            # A malformed response from a peer is ignored.
            return

    def changes_for(self, request):
        """Return the `CatalogueChanges` that answer a peer's `CatalogueRequest`.

        They hold the whole catalogue if the changes since the peer's version are no longer kept.
        """
        version = self.version
        missing = [change for change in self.recent_changes if change.version > request.since]
        if len(missing) == max(0, version - request.since):
            records = tuple(map(encode_change, missing))
            return CatalogueChanges(request.since, version, False, records)
        return CatalogueChanges(request.since, version, True, (self.current.dump(),))
