"""Spreads expensive work over time, so that cheap work goes on beside it.

The load it answers: callers whose requests are cheap to send and dear to parse, such as bodies in
very small chunks and heads of very many fields.  All of them together take turns; a caller whose
requests cost little is never held up.
"""

WORK_SHARE = 0.6
"""Share of the time that expensive work may take."""


class Pacer:
    """Tells how long to wait after a piece of expensive work; `free_at` is when all of it is over.

    >>> pacer = Pacer()
    >>> round(pacer.delay(0.06, now=10.0), 3), round(pacer.delay(0.06, now=10.0), 3)
    (0.1, 0.2)
    >>> round(pacer.delay(0.06, now=20.0), 3)
    0.1
    """

    def __init__(self):
        self.free_at = 0.0

    def delay(self, seconds, now):
        """Return the seconds to wait for work that takes `seconds`."""
        self.free_at = max(now, self.free_at) + seconds / WORK_SHARE
        return self.free_at - now
