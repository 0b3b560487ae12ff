"""The task that keeps one daemon's catalogue at the newest version known."""

import asyncio
from collections import deque

import msgspec

from persimmonstall.catalogue.snapshot import Catalogue, decode_change, encode_change
from persimmonstall.catalogue.sync_state import SyncState, SyncStep
from persimmonstall.failures import Failure
from persimmonstall.messages.control import CatalogueChanges, CatalogueRequest

from .reader import CatalogueReader

KEPT_CHANGES = 512
RETRY_SHARE = 0.25


class CatalogueFollower:
    """Holds the catalogue in force as `current`; every task of the daemon reads it there.

    `changed` queues of subscribers get each `Change` list, or None when the whole catalogue
    was replaced.  `ready` is set once the daemon may serve from what it holds; it stays set,
    since a daemon that is cut off later goes on with what it has.
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
        self.changed = []
        self.recent = deque(maxlen=KEPT_CHANGES)
        self.teller = ""
        self.steps = {
            SyncStep.READ_LOG: self.read_log,
            SyncStep.READ_RECORDS: self.read_records,
            SyncStep.ASK_PEERS: self.ask_peers,
        }

    @property
    def version(self):
        """The catalogue version in force in this daemon."""
        return self.current.version

    def subscribe(self):
        """Return a new queue that gets every change from now on."""
        queue = asyncio.Queue()
        self.changed.append(queue)
        return queue

    def unsubscribe(self, queue):
        """Stop sending changes to `queue`."""
        self.changed.remove(queue)

    def note_version(self, version, peer=""):
        """Note the version in a message of `peer`; a newer one is fetched at once."""
        if self.sync_state.note_version(version):
            self.teller = peer
            self.wake.set()

    def learn(self, change):
        """Put a change in force that is known to be made, or fetch what is missing before it."""
        if change.version == self.version + 1:
            self.apply([change])
        self.note_version(change.version)

    async def run(self):
        """Follow until cancelled."""
        await self.start()
        while True:
            await self.pause()
            await self.poll()

    async def start(self):
        """Ask the table and the peers until what they know of is in force here."""
        while True:
            await asyncio.gather(self.poll_version(), self.ask_peers())
            await self.advance()
            if self.ready.is_set():
                return
            await self.take_stored_snapshot()
            await self.pause()

    async def pause(self):
        """Wait for the next poll, or until a newer version is heard of."""
        seconds = self.context.jitter(self.settings.platform.poll)
        if self.sync_state.is_behind() or not self.ready.is_set():
            seconds *= RETRY_SHARE
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    async def poll(self):
        """Learn the newest version and fetch what is missing."""
        await self.poll_version()
        await self.advance()

    async def poll_version(self):
        """Read the version row."""
        version = await self.reader.version()
        self.sync_state.table_up = not isinstance(version, Failure)
        if self.sync_state.table_up:
            self.sync_state.note_version(version)

    async def advance(self):
        """Take steps until nothing is missing or no step helps."""
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
        """Return what a step that helps changes."""
        return self.version, self.sync_state.log_gap

    async def read_log(self):
        """Apply the changes that the log has after the version in force."""
        changes = await self.reader.changes(self.version)
        if isinstance(changes, Failure):
            self.sync_state.table_up = False
            return
        self.apply(changes)

    def apply(self, changes):
        """Apply `changes`, oldest first; those already in force are passed over."""
        fresh = [change for change in changes if change.version > self.version]
        applied = []
        for change in fresh:
            if not self.current.apply(change):
                self.sync_state.log_gap = True
                break
            applied.append(change)
        self.recent.extend(applied)
        if applied:
            self.note_progress(applied)

    async def read_records(self):
        """Take the whole catalogue from the object store or the table's rows."""
        whole = await self.reader.snapshot()
        if isinstance(whole, Catalogue) and whole.version > self.version:
            self.replace(whole)
            return
        whole = await self.reader.records()
        if isinstance(whole, Catalogue):
            self.replace(whole)

    async def take_stored_snapshot(self):
        """Hold the newest stored snapshot while nothing else answers, not yet served from."""
        if self.version:
            return
        newest = await self.reader.newest_object()
        if isinstance(newest, Catalogue):
            self.replace(newest)

    def replace(self, whole):
        """Put a whole newer catalogue in force."""
        if whole.version <= self.version:
            return
        self.current = whole
        self.recent.clear()
        self.note_progress(None)

    def note_progress(self, changes):
        """Record the version now in force and tell the subscribers."""
        forward = self.sync_state.note_applied(self.version)
        if self.invariants:
            self.invariants.check("catalogue_never_reverts", forward, str(self.version))
        for queue in self.changed:
            queue.put_nowait(changes)

    async def ask_peers(self):
        """Take what a peer has beyond the version in force."""
        answer = await self.peers.ask(CatalogueRequest(self.version), self.teller)
        self.teller = ""
        if isinstance(answer, CatalogueChanges):
            self.take_answer(answer)

    def take_answer(self, answer):
        """Put a peer's changes or whole catalogue in force."""
        self.sync_state.note_version(answer.version)
        try:
            if answer.whole:
                self.replace(Catalogue.load(answer.records[0]))
            else:
                self.apply([decode_change(record) for record in answer.records])
        except (msgspec.MsgspecError, KeyError, ValueError, IndexError):
            # A malformed answer is a peer's fault and changes nothing here.
            return

    def answer(self, ask):
        """Return the `CatalogueChanges` for a peer's `CatalogueRequest`."""
        version = self.version
        missing = [change for change in self.recent if change.version > ask.since]
        if len(missing) == max(0, version - ask.since):
            records = tuple(map(encode_change, missing))
            return CatalogueChanges(ask.since, version, False, records)
        return CatalogueChanges(ask.since, version, True, (self.current.dump(),))
