"""Whether this entry reads the directory by itself, as of now."""

import asyncio

from persimmonstall.direct.readers import ReaderRule, ReadReason

from ..observe import logs

MS_PER_SECOND = 1000.0


class DirectoryReaders:
    """Applies the `ReaderRule` to the peers and the state of an entry."""

    def __init__(self, entry, peers, ownership):
        self.entry = entry
        self.peers = peers
        self.ownership = ownership
        self.log = logs.get("directory")
        self.reason = ReadReason.STARTING

    @property
    def rule(self):
        """The rule, by the current settings."""
        options = self.entry.settings.direct
        bounds = (options.configuration_ms, options.evacuation_ms, options.drain_ms)
        return ReaderRule(self.peers.address, min(filter(None, bounds)) / MS_PER_SECOND)

    @property
    def told(self):
        """Whether this entry leaves reading to others."""
        return not self.reason.reads

    def links(self):
        """Return the bandwidth of each entry that may read, by address."""
        links = {peer.address: peer.link for peer in self.peers.active()}
        links[self.peers.address] = self.peers.link
        return {address: links[address] for address in self.ownership.members()}

    def review(self):
        """Decide whether to read; log when that changes."""
        now = self.entry.now()
        age = now - self.entry.state.directory_seen_at
        behind = self.peers.snapshots.seconds_behind(now)
        reason = ReadReason.STARTING
        if self.entry.state.ready:
            reason = self.rule.decide(self.links(), age, behind)
        if reason is not self.reason:
            self.log.info(
                "directory_reading",
                reason=str(reason),
                reads=reason.reads,
                age_ms=round(age * 1000),
            )
            self.entry.metrics.gauge("directory_reader", int(reason.reads))
        self.reason = reason

    async def wait_for_turn(self):
        """Return once this entry is to read the directory."""
        self.review()
        while self.told:
            await asyncio.sleep(self.entry.clock.jitter(self.rule.review_seconds))
            self.review()

    def poll_times(self, failures):
        """Return the `PollTimes` of the next call, after `failures` failed ones."""
        return self.rule.poll_times(self.reason.shared, failures)

    def retry_seconds(self, failures):
        """Return the pause in seconds after `failures` failed calls."""
        return self.rule.retry_seconds(self.reason is not ReadReason.OUTDATED, failures)

    async def gather(self):
        """Pause after changes, so that the next call returns several of them."""
        if self.reason.shared:
            await asyncio.sleep(self.rule.gather_seconds)
