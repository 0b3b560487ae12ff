"""Keeps the blocked parts of prompts in the directory, for entries that start later."""

import asyncio

from persimmonstall.failures import Failure

from ..observe import logs

SAVE_SECONDS = 0.5
"""Interval at which changes are saved."""

RETRY_SECONDS = 2.0
"""Time after a failed call of the directory before the next one."""


class CrashRecords:
    """Reads the blocked parts at the start, and saves those that this entry owns.

    `saved` maps each part in the directory to its number of crashes, as far as is known.
    """

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("crashes")
        self.saved = {}

    @property
    def parts(self):
        """The parts that this entry suspects."""
        return self.entry.state.crash_tracker.parts

    async def run(self):
        """Read the records, then save changes until cancelled."""
        while not await self.load():
            await asyncio.sleep(RETRY_SECONDS)
        while True:
            saved = await self.save_changes()
            await asyncio.sleep(SAVE_SECONDS if saved else RETRY_SECONDS)

    async def load(self):
        """Read the blocked parts that entries saved before; return whether that succeeded."""
        found = await self.entry.directory.read_blocked_parts()
        if isinstance(found, Failure):
            logs.log_failure(self.log, "blocked_parts_unread", found)
            return False
        for part, crashes in found:
            self.saved[part] = crashes
            self.parts.add_earlier(part, crashes, self.entry.now())
            self.log.info("part_blocked", part=part, crashes=crashes, source="directory")
        return True

    async def save_changes(self):
        """Save what changed of the parts that this entry owns; return whether that succeeded."""
        blocked = self.parts.blocked()
        for part, crashes in blocked.items():
            if self.saved.get(part, 0) < crashes and not await self.save(part, crashes):
                return False
        for part in set(self.saved) - set(blocked):
            if not await self.remove(part):
                return False
        return True

    async def save(self, part, crashes):
        """Save a blocked part, or leave that to its owner; return false if it failed."""
        if self.entry.ownership.owns(part):
            result = await self.entry.directory.save_blocked_part(part, crashes)
            if isinstance(result, Failure):
                logs.log_failure(self.log, "blocked_part_unsaved", result, part=part)
                return False
        self.saved[part] = crashes
        return True

    async def remove(self, part):
        """Remove a part that is not blocked any more, or leave that to its owner."""
        if self.entry.ownership.owns(part):
            result = await self.entry.directory.remove_blocked_part(part)
            if isinstance(result, Failure):
                logs.log_failure(self.log, "blocked_part_unsaved", result, part=part)
                return False
        self.saved.pop(part, None)
        return True
