"""Refuses quarantined content and restricts where suspect content runs."""

import asyncio

from persimmonstall.failures import Outcome, Postponed, Reason, Refusal
from persimmonstall.messages.control import LAST_LIFE
from persimmonstall.quarantine import ContentStatus
from persimmonstall.quarantine.trial import PROPAGATION_SECONDS, trial_endpoint

from ..entry.filter import Filter
from ..entry.request import Answer

CHECK_SECONDS = 1.0
"""Mean interval between two checks of which endpoints are usable."""


class QuarantineFilter(Filter):
    """The entry's filter; `manager` is its `QuarantineManager`.

    `last_usable` maps each pool of endpoints to the times at which they were last usable, so
    that a trial does not move to another endpoint as soon as its own is lost.
    """

    name = "quarantine"

    def __init__(self, entry, manager):
        self.entry = entry
        self.manager = manager
        self.last_usable = {}

    async def admit(self, work):
        """Return the work, or the `Refusal` of quarantined content."""
        if self.manager.is_quarantined(work.fingerprint):
            return self.refusal()
        return work

    async def settle(self, work, outcome):
        """Clear the suspicion against content that has a complete answer."""
        if isinstance(outcome, Answer) and not outcome.stored:
            self.manager.record_progress(work.fingerprint)
        return outcome

    def refusal(self, outcome=Outcome.NOT_RUN):
        """Return the refusal of quarantined content, which has no retry time."""
        detail = "this content was in flight during several crashes of endpoints"
        instance = self.entry.settings.daemon.instance
        return Refusal(Reason.QUARANTINED, self.name, instance, detail, outcome)

    async def run(self):
        """Record at intervals which endpoints are usable, until cancelled."""
        while True:
            self.record_usable(self.entry.placer.pools())
            await asyncio.sleep(self.manager.context.jitter(CHECK_SECONDS))

    def is_suspect(self, work):
        """Return whether `work` is suspect and has to run apart from other suspects."""
        return self.manager.status(work.fingerprint) is ContentStatus.SUSPECT

    def record_usable(self, pools):
        """Record which endpoints are usable now; `pools` maps keys to endpoint names."""
        now = self.entry.context.now()
        for key, names in pools.items():
            seen = self.last_usable.setdefault(key, {})
            seen.update(dict.fromkeys(names, now))
            for name in [name for name, at in seen.items() if now - at >= PROPAGATION_SECONDS]:
                del seen[name]

    def excluded_endpoints(self, work, avoided, leaving):
        """Return the names of endpoints that an attempt of `work` must avoid, or a `Failure`.

        Work that is not suspect avoids only `avoided` and `leaving`; suspect work avoids all
        but its trial endpoint.
        """
        status = self.manager.status(work.fingerprint)
        if status is ContentStatus.QUARANTINED:
            return self.refusal()
        if status is ContentStatus.CLEAN:
            return avoided | leaving
        key = self.entry.placer.pool_of(work)
        names = frozenset(self.entry.placer.pools().get(key, ())) - leaving
        self.record_usable({key: names})
        verdict = self.manager.verdict(work.fingerprint)
        chosen = trial_endpoint(verdict, self.last_usable[key], self.entry.context.now())
        if chosen not in names:
            detail = "content is suspect and its trial endpoint is not available"
            return Postponed(Reason.BUSY, self.name, chosen or "", detail, CHECK_SECONDS)
        return frozenset(names) - {chosen}

    def record_lost_connection(self, work, endpoint, run, attempt, offset):
        """Record a presumed crash: the link to daemon run `run` was lost during an attempt."""
        in_flight = ((f"{work.request_id}/{attempt}",), offset)
        self.manager.record_crash(
            {work.fingerprint: in_flight}, endpoint, run, LAST_LIFE, presumed=True
        )
