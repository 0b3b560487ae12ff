"""Keeps blocked contents and parts of prompts in the directory, for entries that start later."""

import abc
import asyncio
import math

from persimmonstall.direct.crash_record import CrashRecord, RecordKind
from persimmonstall.failures import Failure

from ..observe import logs

SAVE_SECONDS = 0.1
"""Interval at which changes are saved."""

RETRY_SECONDS = 2.0
"""Time after a failed call of the directory before the next one, once no call waits for it."""

SETTLE_SECONDS = 1.0
"""Time after the start before an entry removes records: until it knows its peers, it owns all."""

MAX_WRITTEN = 50
"""Maximum numbers of records that are saved, and removed, in one call."""


class CrashRecords:
    """Reads the records of both kinds, and saves those that this entry owns."""

    def __init__(self, entry):
        self.tables = (PartRecords(entry), ContentRecords(entry))

    async def run(self):
        """Read the records, then save changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for table in self.tables:
                group.create_task(table.run())

    @property
    def loaded(self):
        """Whether all records were read since the start."""
        return all(table.loaded for table in self.tables)

    def read_contents_again(self):
        """Read the contents again, since other entries may have saved some meanwhile."""
        _, contents = self.tables
        contents.unread = True

    def write_again(self):
        """Save all records again, since the directory may have lost them."""
        for table in self.tables:
            table.saved.clear()


class RecordTable(abc.ABC):
    """The records of one kind.

    `saved` maps the keys that the directory holds to their numbers of crashes, as far as this
    entry has read or written them.  `listed` are the keys that it may hold.  `unread` says that it
    has to be read, `loaded` that it was read once.  `blocked_event` is the name of the log line
    of one that is blocked.
    """

    kind: RecordKind
    blocked_event: str

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("crashes")
        self.saved = {}
        self.listed = set()
        self.unread = True
        self.loaded = False
        self.settled_at = math.inf

    @property
    def crash_tracker(self):
        """The crashes that this entry knows."""
        return self.entry.state.crash_tracker

    @abc.abstractmethod
    def blocked(self):
        """Return the records of what is blocked now by key."""

    @abc.abstractmethod
    def add(self, record):
        """Add a record that was read to what this entry knows."""

    async def run(self):
        """Read the records, then save changes until cancelled."""
        failures = 0
        while not await self.load():
            failures += 1
            await asyncio.sleep(self.entry.clock.jitter(self.retry_seconds(failures)))
        self.loaded = True
        self.settled_at = self.entry.now() + SETTLE_SECONDS
        while True:
            done = (not self.unread or await self.load()) and await self.save_changes()
            await asyncio.sleep(SAVE_SECONDS if done else RETRY_SECONDS)

    def retry_seconds(self, failures):
        """Return the pause in seconds after `failures` failed reads since the start.

        While calls wait for the records, it is as short as that of the configuration.
        """
        if self.entry.starting:
            return self.entry.readers.retry_seconds(failures)
        return RETRY_SECONDS

    async def load(self):
        """Read the records that entries saved before; return whether that succeeded."""
        self.unread = False
        found = await self.entry.directory.read_crash_records(self.kind)
        if isinstance(found, Failure):
            self.unread = True
            logs.log_failure(self.log, "crash_records_unread", found, kind=self.kind.value)
            return False
        before = set(self.blocked())
        for record in found:
            self.saved[record.key] = record.crashes
            self.listed.add(record.key)
            self.add(record)
        self.log_blocked(before)
        return True

    def log_blocked(self, before):
        """Log what is blocked now and was not `before`."""
        for key, record in self.blocked().items():
            if key not in before:
                self.log.warning(
                    self.blocked_event,
                    **{self.kind.value: key},
                    crashes=record.crashes,
                    source="directory",
                )

    async def save_changes(self):
        """Save and remove what this entry owns; return whether that succeeded."""
        blocked = self.blocked()
        self.listed.update(blocked)
        owns = self.entry.ownership.owns
        changed = [
            record
            for key, record in blocked.items()
            if self.saved.get(key, 0) < record.crashes and owns(key)
        ][:MAX_WRITTEN]
        settled = self.entry.now() >= self.settled_at
        ended = self.listed - set(blocked) if settled else ()
        removed = [key for key in ended if owns(key)][:MAX_WRITTEN]
        if (changed or removed) and not await self.write(changed, removed):
            return False
        self.saved.update((record.key, record.crashes) for record in changed)
        for key in ended if len(removed) < MAX_WRITTEN else removed:
            self.listed.discard(key)
            self.saved.pop(key, None)
        return True

    async def write(self, changed, removed):
        """Save and remove records; return whether that succeeded."""
        result = await self.entry.directory.write_crash_records(self.kind, changed, removed)
        if not isinstance(result, Failure):
            return True
        keys = [record.key for record in changed] + removed
        logs.log_failure(
            self.log, "crash_records_unsaved", result, kind=self.kind.value, keys=keys
        )
        return False


class PartRecords(RecordTable):
    """The blocked parts of prompts."""

    kind = RecordKind.PART
    blocked_event = "part_blocked"

    def blocked(self):
        """Return the records of the blocked parts."""
        blocked = self.crash_tracker.parts.blocked()
        return {part: CrashRecord(part, crashes) for part, crashes in blocked.items()}

    def add(self, record):
        """Block a part from the start."""
        self.crash_tracker.parts.add_earlier(record.key, record.crashes, self.entry.now())


class ContentRecords(RecordTable):
    """The blocked contents."""

    kind = RecordKind.CONTENT
    blocked_event = "content_blocked"

    def blocked(self):
        """Return the records of the blocked contents."""
        return self.crash_tracker.records(self.entry.now())

    def add(self, record):
        """Add the crashes of a content."""
        self.crash_tracker.add_record(record, self.entry.now())
