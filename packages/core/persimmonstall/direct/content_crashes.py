"""The endpoint lifetimes that ended while they ran one content, and when it is tried again."""

import math

import attrs

BLOCK_CRASHES = 2
"""Number of crashed endpoint lifetimes from which the content that crashed them is refused."""

FINAL_CRASHES = 3
"""Number of crashed endpoint lifetimes from which a content gets no more trials."""

TRIAL_SECONDS = 1.0
"""Time after the last crash of a blocked content from which one call may be tried; it doubles
with each trial that is not answered completely."""

BLOCK_SECONDS = 600.0
"""Time after its last crash for which a content is refused."""


MAX_EXCUSED = 16
"""Number of excused lifetimes above which they are forgotten."""


@attrs.define
class ContentCrashes:
    """The crashes of one content; the last one that is known was at the time `last_crash`.

    A complete answer excuses the lifetimes that had ended before: they had another cause.  Both
    sets only grow, so that reports of other entries can come late, twice or in any order.
    `trials` counts those since the last complete answer.
    """

    lifetimes: frozenset = frozenset()
    excused: frozenset = frozenset()
    last_crash: float = -math.inf
    trials: int = 0
    last_trial: float = -math.inf

    @property
    def counted(self):
        """The lifetimes that no complete answer has excused."""
        return self.lifetimes - self.excused

    def add(self, lifetimes, at):
        """Add lifetimes that ended up to the time `at`."""
        self.lifetimes |= frozenset(lifetimes)
        self.last_crash = at

    def excuse(self, lifetimes):
        """Excuse lifetimes, which may be reported as ended only later."""
        if len(self.excused) > MAX_EXCUSED:
            self.lifetimes -= self.excused
            self.excused = frozenset()
        self.excused |= frozenset(lifetimes)
        self.trials = 0

    def trial_wait(self, at_once, now):
        """Return the seconds until a call may be tried, 0 if it may now.

        The first trial after a crash may come `at_once` if the content was answered lately.
        """
        if len(self.counted) >= FINAL_CRASHES:
            due = self.last_crash + BLOCK_SECONDS
        elif at_once and not self.trials:
            due = now
        else:
            due = max(self.last_crash, self.last_trial) + TRIAL_SECONDS * 2**self.trials
        return max(0.0, due - now)

    def start_trial(self, now):
        """Record that a call is tried."""
        self.trials += 1
        self.last_trial = now
