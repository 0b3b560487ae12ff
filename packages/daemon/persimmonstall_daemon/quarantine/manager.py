"""Manages a daemon's verdicts: broadcasts them over all links and stores them in the table."""

import asyncio
from random import Random

import attrs
import msgspec

from persimmonstall.clock import Context
from persimmonstall.failures import Failure
from persimmonstall.messages.control import Crash, Verdict, Verdicts
from persimmonstall.outside.table import ABSENT, Conflict, Write
from persimmonstall.quarantine import ContentStatus, VerdictStore
from persimmonstall.quarantine.verdict_store import merge_verdicts

TABLE = "quarantine"
"""Name of the table that holds the verdicts, by fingerprint."""

POLL_SECONDS = 10.0
"""Mean interval between two reads of the table."""

FLUSH_SECONDS = 0.5
"""Mean interval between attempts to write what the table does not have yet."""

PAGE_ROWS = 200
MAX_WRITE_TRIES = 3
"""Attempts of one conditional write before it is left to the next flush."""


@attrs.frozen
class ListedVerdict:
    """A quarantined fingerprint as listed for operators; `expires` is in Unix seconds."""

    fingerprint: str
    crashes: int
    expires: float
    lifted: bool = False


class QuarantineManager:
    """Owns the `VerdictStore` of `daemon`, a `LinkedDaemon`.

    `open_links()` returns the daemon's links to other daemons.
    """

    def __init__(self, daemon, table, open_links):
        self.timeout = daemon.settings.platform.timeout
        self.table = table
        clock = daemon.context
        self.context = Context(clock.now, clock.wall, Random(daemon.run_id))
        self.metrics = daemon.metrics
        self.follower = daemon.follower
        self.open_links = open_links
        self.verdict_store = VerdictStore(daemon.invariants, self.lift_revision)
        self.unwritten = {}

    def lift_revision(self, fingerprint):
        """Return the revision of the latest lift of a quarantine by operators, 0 for none."""
        record = self.follower.current.get("lift", fingerprint)
        return 0 if record is None else record.revision

    def register(self, control_handlers):
        """Register the handler of verdicts from peers in a daemon's `control_handlers`."""
        control_handlers[Verdicts] = self.on_verdicts

    def status(self, fingerprint):
        """Return the `ContentStatus` of content."""
        return self.verdict_store.status(fingerprint, self.context.wall())

    def verdict(self, fingerprint):
        """Return the current verdict on content, or None."""
        return self.verdict_store.current(fingerprint, self.context.wall())

    def verdicts(self):
        """Return a `ListedVerdict` for each quarantined fingerprint, for operators."""
        found = self.verdict_store.quarantined(self.context.wall())
        return [
            ListedVerdict(one.fingerprint, len(one.crashes) + len(one.doubtful), one.expires)
            for one in found
        ]

    def record_crash(self, fingerprints, endpoint, run, life, presumed=False):
        """Record a crash that ended the lifetime `life` of an endpoint's engine.

        `fingerprints` maps the content in flight to (attempts, output offset).  A crash is
        `presumed` if only the link to the daemon run `run` was lost.
        """
        before = len(self.verdict_store.quarantined(self.context.wall()))
        crash = Crash(endpoint, run, life, presumed=presumed)
        changed = self.verdict_store.record_crash(fingerprints, crash, self.context.wall())
        added = len(self.verdict_store.quarantined(self.context.wall())) - before
        self.metrics.count("quarantined", max(0, added))
        self.broadcast(changed)

    def record_progress(self, fingerprint, offset=None):
        """Record the output offset that content has reached, None for its complete answer."""
        if fingerprint not in self.verdict_store.verdicts:
            return
        changed = self.verdict_store.record_progress(fingerprint, offset, self.context.wall())
        if changed is not None:
            self.broadcast([changed])

    def withdraw_presumed_crashes(self, endpoints, run):
        """Withdraw presumed crashes of these endpoints, since the daemon run `run` is alive."""
        for endpoint in endpoints:
            self.broadcast(
                self.verdict_store.withdraw_presumed(endpoint, run, self.context.wall())
            )

    def on_verdicts(self, message, link):
        """Merge the verdicts of a peer and broadcast those that were new."""
        wall = self.context.wall()
        learned = [self.verdict_store.learn(verdict, wall) for verdict in message.verdicts]
        self.broadcast([verdict for verdict in learned if verdict is not None], link)

    def broadcast(self, verdicts, source=None):
        """Broadcast verdicts over all links but `source` and queue them for the table."""
        if not verdicts:
            return
        message = Verdicts(tuple(verdicts))
        for link in self.open_links():
            if link is not source:
                link.send(message)
        for verdict in verdicts:
            self.unwritten[verdict.fingerprint] = verdict

    def send_all_verdicts(self, link):
        """Send all known verdicts to the peer on a new link."""
        known = tuple(self.verdict_store.verdicts.values())
        if known:
            link.send(Verdicts(known))

    async def run(self):
        """Synchronise the verdicts with the table until cancelled."""
        next_read = self.context.now()
        while True:
            if self.context.now() >= next_read:
                await self.read_all()
                next_read = self.context.now() + self.context.jitter(POLL_SECONDS)
            await self.flush()
            self.verdict_store.expire(self.context.wall())
            await asyncio.sleep(self.context.jitter(FLUSH_SECONDS))

    async def read_all(self):
        """Merge all verdicts of the table; delete rows that are expired or malformed."""
        after = ""
        while True:
            rows = await self.table.scan(TABLE, "", after, PAGE_ROWS, self.timeout)
            if isinstance(rows, Failure):
                return
            for row in rows:
                await self.merge_row(row)
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    async def merge_row(self, row):
        """Merge the verdict of one row; delete the row if it is expired or malformed."""
        verdict = decode(row)
        if isinstance(verdict, Verdict) and verdict.expires > self.context.wall():
            learned = self.verdict_store.learn(verdict, self.context.wall())
            if learned is not None and learned != verdict:
                self.unwritten[learned.fingerprint] = learned
            return
        await self.table.commit((Write(TABLE, row.key, row.version, None),), self.timeout)

    async def flush(self):
        """Write what the table does not have yet; failed writes remain for the next flush."""
        for fingerprint, verdict in list(self.unwritten.items()):
            if not await self.write(verdict):
                return
            if self.unwritten.get(fingerprint) == verdict:
                del self.unwritten[fingerprint]

    async def write(self, verdict):
        """Merge one verdict into its row; return False if it could not be written."""
        version, merged = ABSENT, verdict
        for _ in range(MAX_WRITE_TRIES):
            value = msgspec.msgpack.encode(merged)
            write = Write(TABLE, verdict.fingerprint, version, value)
            done = await self.table.commit((write,), self.timeout)
            if done:
                return True
            if not isinstance(done, Conflict):
                return False
            row = done.rows[0]
            version = row.version if row else ABSENT
            known = decode(row) if row else None
            merged = merge_verdicts(known, verdict) if isinstance(known, Verdict) else verdict
            if merged == known:
                return True
        return False

    def is_quarantined(self, fingerprint):
        """Return whether content is quarantined."""
        return self.status(fingerprint) is ContentStatus.QUARANTINED


def decode(row):
    """Return the verdict stored in a table row, or None if the row is malformed."""
    try:
        return msgspec.msgpack.decode(row.value, type=Verdict)
    except msgspec.MsgspecError:
        return None
