"""What the entries of a data centre tell the others of how endpoints serve their callers.

Failures and slowness may be seen by the callers of one data centre only.  So entries that know
the delays between data centres name their own with what they observed, and also tell which
endpoints serve their callers well although another data centre reports them.
"""

import math

import attrs

from ..failures import Failure, Reason
from .datagrams import Kind
from .reports import Report

STEP = "peers"


@attrs.define
class Observations(Report):
    """The `Report` of failure scores and slowdowns, as seen from a data centre.

    It is active where configurations name the delays between data centres; else beacons carry
    both, without a data centre.
    """

    failure_scores: object
    slowdowns: object
    data_centre: str = ""
    active: bool = False
    kind = Kind.OBSERVATIONS

    def __attrs_post_init__(self):
        self.failure_scores.reported.data_centre = self.data_centre
        self.slowdowns.reported.data_centre = self.data_centre

    def activate(self, distances):
        """Become active if `Distances` are known and this entry knows its data centre."""
        self.active = bool(self.data_centre and distances.seconds)

    def logs(self):
        """Return the logs of changes: slow engines, and refuted reports."""
        refuted = self.failure_scores.reported.refuted, self.slowdowns.reported.refuted
        return self.slowdowns.changes, *refuted

    def changes(self, now):
        """Return the fields if an engine became slow or normal, or a report was refuted."""
        if any(log.numbers for log in self.logs()):
            return self.state(now)
        return None

    def state(self, now):
        """Return the fields, None if there is nothing to tell."""
        failing = self.failure_scores.local_state(now)
        slow = self.slowdowns.local_state(now)
        sound = self.failure_scores.reported.refuted.pending()
        fast = self.slowdowns.reported.refuted.pending()
        if not self.active or not (failing or slow or sound or fast):
            return None
        return self.data_centre, failing, slow, sound, fast

    def mark_sent(self):
        """Record that the latest changes were sent."""
        for log in self.logs():
            log.mark_sent()

    def merge(self, fields, now):
        """Merge the fields of another entry's datagram; return a `Failure` if malformed."""
        try:
            data_centre, failing, slow, sound, fast = fields[:5]
            data_centre = str(data_centre)
            failing, slow = read_pairs(failing), read_pairs(slow)
            sound, fast = list(map(str, sound)), list(map(str, fast))
        except (TypeError, ValueError) as error:
            return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))
        self.failure_scores.merge_remote(failing, now, data_centre)
        self.slowdowns.merge_remote(slow, now, data_centre)
        if data_centre == self.data_centre:
            for name in sound:
                self.failure_scores.reported.merge_sound(name, now)
            for name in fast:
                self.slowdowns.reported.merge_sound(name, now)
        return None


def read_pairs(rows):
    """Return (name, value) pairs; raise TypeError or ValueError if one is malformed.

    >>> read_pairs([["e", 2]])
    [('e', 2.0)]
    """
    pairs = [(str(name), float(value)) for name, value in rows]
    for _, value in pairs:
        if not math.isfinite(value):
            raise ValueError(f"value is not finite: {value}")
    return pairs
