"""Keeps a daemon's verdicts and spreads them: over every link at once, and by the table."""

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
"""Mean time between two reads of the table."""

FLUSH_SECONDS = 0.5
"""Mean time between tries of writing what the table does not have yet."""

PAGE_ROWS = 200
WRITE_TRIES = 3


@attrs.frozen
class ListedVerdict:
    """A quarantined fingerprint as operators see it; `expires` is in Unix seconds."""

    fingerprint: str
    crashes: int
    expires: float
    lifted: bool = False


class QuarantineManager:
    """Owns the `VerdictStore` of one daemon; `linked()` returns the open links to other daemons.

    `run` identifies the daemon's process and seeds the jitter.
    """

    def __init__(self, settings, table, context, metrics, invariants, follower, linked, run):
        self.timeout = settings.platform.timeout
        self.table = table
        self.context = Context(context.now, context.wall, Random(run))
        self.metrics = metrics
        self.follower = follower
        self.linked = linked
        self.verdict_store = VerdictStore(invariants, self.lift_of)
        self.unwritten = {}

    def lift_of(self, fingerprint):
        """Return the number of the operators' latest lift of a fingerprint, 0 for none."""
        record = self.follower.current.get("lift", fingerprint)
        return 0 if record is None else record.revision

    def register(self, control_handlers):
        """Take verdicts from peers through a daemon's `control_handlers`."""
        control_handlers[Verdicts] = self.on_verdicts

    def status(self, fingerprint):
        """Return the `ContentStatus` of content."""
        return self.verdict_store.status(fingerprint, self.context.wall())

    def verdict(self, fingerprint):
        """Return the verdict in force on content, or None."""
        return self.verdict_store.current(fingerprint, self.context.wall())

    def verdicts(self):
        """Return a `ListedVerdict` for each fingerprint that is refused, for operators."""
        found = self.verdict_store.quarantined(self.context.wall())
        return [ListedVerdict(one.fingerprint, len(one.crashes), one.expires) for one in found]

    def record_crash(self, fingerprints, endpoint, run, life, presumed=False):
        """Note a crash with `fingerprints`, which map to (attempts, output offset)."""
        before = len(self.verdict_store.quarantined(self.context.wall()))
        crash = Crash(endpoint, run, life, presumed=presumed)
        changed = self.verdict_store.record_crash(fingerprints, crash, self.context.wall())
        added = len(self.verdict_store.quarantined(self.context.wall())) - before
        self.metrics.count("quarantined", max(0, added))
        self.publish(changed)

    def record_progress(self, fingerprint, offset=None):
        """Note how far content has come, None for its whole answer."""
        if fingerprint not in self.verdict_store.verdicts:
            return
        changed = self.verdict_store.record_progress(fingerprint, offset, self.context.wall())
        if changed is not None:
            self.publish([changed])

    def withdraw_presumed_crashes(self, endpoints, run):
        """Take presumed crashes back: the daemon `run` of these endpoints is alive."""
        for endpoint in endpoints:
            self.publish(self.verdict_store.withdraw_presumed(endpoint, run, self.context.wall()))

    def on_verdicts(self, message, link):
        """Take verdicts from a peer and pass on what is news."""
        wall = self.context.wall()
        learned = [self.verdict_store.learn(verdict, wall) for verdict in message.verdicts]
        self.publish([verdict for verdict in learned if verdict is not None], link)

    def publish(self, verdicts, source=None):
        """Send verdicts over every link but the `source`, and keep them for the table."""
        if not verdicts:
            return
        message = Verdicts(tuple(verdicts))
        for link in self.linked():
            if link is not source:
                link.send(message)
        for verdict in verdicts:
            self.unwritten[verdict.fingerprint] = verdict

    def send_all_verdicts(self, link):
        """Tell a peer on a new link all that is known."""
        known = tuple(self.verdict_store.verdicts.values())
        if known:
            link.send(Verdicts(known))

    async def run(self):
        """Read and write the table until cancelled."""
        next_read = self.context.now()
        while True:
            if self.context.now() >= next_read:
                await self.read_all()
                next_read = self.context.now() + self.context.jitter(POLL_SECONDS)
            await self.flush()
            self.verdict_store.expire(self.context.wall())
            await asyncio.sleep(self.context.jitter(FLUSH_SECONDS))

    async def read_all(self):
        """Learn the verdicts in the table, and delete those that have expired."""
        after = ""
        while True:
            rows = await self.table.scan(TABLE, "", after, PAGE_ROWS, self.timeout)
            if isinstance(rows, Failure):
                return
            for row in rows:
                await self.take(row)
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    async def take(self, row):
        """Learn one row."""
        verdict = decode(row)
        if isinstance(verdict, Verdict) and verdict.expires > self.context.wall():
            learned = self.verdict_store.learn(verdict, self.context.wall())
            if learned is not None and learned != verdict:
                self.unwritten[learned.fingerprint] = learned
            return
        await self.table.commit((Write(TABLE, row.key, row.version, None),), self.timeout)

    async def flush(self):
        """Write what the table does not have yet; what fails is tried again."""
        for fingerprint, verdict in list(self.unwritten.items()):
            if not await self.write(verdict):
                return
            if self.unwritten.get(fingerprint) == verdict:
                del self.unwritten[fingerprint]

    async def write(self, verdict):
        """Merge one verdict into its row; False when the table is out of reach."""
        version, merged = ABSENT, verdict
        for _ in range(WRITE_TRIES):
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
        """Whether content is refused."""
        return self.status(fingerprint) is ContentStatus.QUARANTINED


def decode(row):
    """Return the verdict in a row, or None when it is malformed."""
    try:
        return msgspec.msgpack.decode(row.value, type=Verdict)
    except msgspec.MsgspecError:
        return None
