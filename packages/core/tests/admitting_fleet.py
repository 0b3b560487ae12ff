"""Entries with admission before played engines, and callers who come back after a refusal."""

import attrs

from persimmonstall.direct.admission import Admission, WaitingCall
from persimmonstall.direct.messages import Organisation
from persimmonstall.direct.retrying import AttemptHistory, final_refusal
from persimmonstall.direct.usage import UsageReport

from .contended_fleet import ContendedFleet

REVIEW_SECONDS = 0.01
REPORT_SECONDS = 0.1
"""Intervals at which entries review the calls that wait, and report to each other."""


@attrs.define(eq=False)
class PlayedEntry:
    """An entry; `waiting` holds the callers' calls by what the admission returned for them."""

    admission: Admission
    report: UsageReport
    waiting: dict = attrs.field(factory=dict)
    dead: bool = False


class AdmittingFleet(ContendedFleet):
    """Entries that admit calls; callers come back up to `returns` times after a refusal."""

    def __init__(self, engines, lag, profile, seed=1, entries=40, returns=1):
        super().__init__(engines, lag, profile, seed)
        self.returns = returns
        self.entries = [self.make_entry(f"10.1.0.{n}:80", n) for n in range(entries)]
        self.schedule(0.0, self.review)
        self.schedule(0.0, self.exchange_reports)
        self.impatient = set()

    def make_entry(self, address, run):
        """Return an entry that sees what all others see."""
        admission = Admission(self.placer, self.random)
        return PlayedEntry(admission, UsageReport(admission, address, run))

    def arrive(self, call, now):
        """Let any entry decide on a call."""
        entry = self.random.choice([each for each in self.entries if not each.dead])
        routed = attrs.evolve(call.routed, content=call.name)
        arrived = attrs.evolve(routed.call, arrived=now, deadline=call.asked + 10.0)
        call.routed = attrs.evolve(routed, call=arrived)
        decision = entry.admission.decide(call.routed, now)
        if decision is None:
            self.admitted(call, now)
        elif isinstance(decision, WaitingCall):
            entry.waiting[decision] = call
        else:
            self.refused(call, decision, now)

    def admitted(self, call, now):
        """Place a call."""
        call.admitted = now
        self.place(call, now)

    def refused(self, call, failure, now):
        """Let the caller come back when it was told to, or at once."""
        call.refusals += 1
        refusal = final_refusal(call.routed, AttemptHistory(), failure, now, self.random)
        call.retry_after.append(refusal.retry_after)
        if call.refusals <= self.returns:
            pause = 0.05 if call.organisation in self.impatient else refusal.retry_after
            self.schedule(now + pause, lambda at: self.arrive(call, at))

    def review(self, now):
        """Let the entries place the calls that may go on."""
        for entry in self.entries:
            if entry.waiting and not entry.dead:
                for each in entry.admission.review(now):
                    self.admitted(entry.waiting.pop(each.call), now)
        self.schedule(now + REVIEW_SECONDS, self.review)

    def exchange_reports(self, now):
        """Let the entries report to each other."""
        for entry in self.entries:
            fields = None if entry.dead else entry.report.changes(now)
            entry.report.mark_sent()
            if fields is not None:
                self.reports_sent += 1
                self.schedule(now + self.lag, lambda at, f=fields: self.receive(f, at))
        for entry in self.entries:
            entry.admission.tick(now)
        self.schedule(now + REPORT_SECONDS, self.exchange_reports)

    reports_sent = 0

    def receive(self, fields, now):
        """Let all entries merge a report."""
        for entry in self.entries:
            assert entry.report.merge(fields, now) is None

    def ended(self, call, now):
        """Let an entry record how long the call took."""
        super().ended(call, now)
        self.random.choice(self.entries).admission.record_served(call.routed, now - call.admitted)


def of_organisation(routed, name, priority=None):
    """Return a call of an organisation."""
    return attrs.evolve(routed, organisation=Organisation(name, priority))
