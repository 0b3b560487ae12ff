"""What other entries report of endpoints, told apart by the data centre of their callers.

An endpoint can be sound for the callers of one data centre and fail or be slow for those of
another, where the way between them is the cause.  A report from another data centre holds until
an entry of this one has seen since that the endpoint serves its callers well.
"""

import math

import attrs

from .change_log import ChangeLog

NEWS_FACTOR = 2.0
"""How many times as high as what is left of the last report a value counts as news, which earlier
observations do not refute."""


@attrs.frozen
class Reported:
    """A value that was reported at the time `at`; it last rose at the time `raised_at`."""

    value: float
    at: float
    raised_at: float


@attrs.define
class ReportedValues:
    """Values of endpoints, by name and data centre; 0 is that of a sound one.

    `decayed` maps a value, the time of its report and the time now to what is left of it.
    `data_centre` is this entry's; reports without a data centre count like its own.  `sound_at`
    maps names to the time at which this data centre last saw that an endpoint is sound, and
    `refuted` holds the names for which this entry has seen so lately.

    >>> reported = ReportedValues(lambda value, at, now: value, "a")
    >>> reported.merge("e", 1.0, "b", 0.0)
    >>> reported.value("e", 0.1), reported.record_sound("e", 0.2), reported.value("e", 0.3)
    (1.0, True, 0.0)
    """

    decayed: object
    data_centre: str = ""
    reports: dict = attrs.field(factory=dict)
    sound_at: dict = attrs.field(factory=dict)
    refuted: ChangeLog = attrs.field(factory=ChangeLog)

    def merge(self, name, value, data_centre, now):
        """Merge a value reported by an entry in `data_centre`; of two, the higher one stays."""
        reports = self.reports.setdefault(name, {})
        known = reports.get(data_centre)
        current = 0.0 if known is None else self.decayed(known.value, known.at, now)
        if value < current or not value > 0.0:
            return
        risen = value >= NEWS_FACTOR * current
        reports[data_centre] = Reported(value, now, now if risen else known.raised_at)

    def value(self, name, now):
        """Return the highest value that is reported of an endpoint and not refuted."""
        values = (
            self.decayed(each.value, each.at, now)
            for data_centre, each in self.reports.get(name, {}).items()
            if not self.is_refuted(name, data_centre, each)
        )
        return max(values, default=0.0)

    def is_refuted(self, name, data_centre, reported):
        """Return whether callers of this data centre have been served well since a report."""
        if data_centre in ("", self.data_centre):
            return False
        return self.sound_at.get(name, -math.inf) > reported.raised_at

    def record_sound(self, name, now):
        """Record that an endpoint served a caller of this data centre well.

        Reports of this data centre are halved.  Return whether it refutes one of another.
        """
        reports = self.reports.get(name)
        if not reports:
            return False
        refutes = False
        for data_centre, each in reports.items():
            if data_centre in ("", self.data_centre):
                value = self.decayed(each.value, each.at, now) / 2
                reports[data_centre] = Reported(value, now, each.raised_at)
            elif not self.is_refuted(name, data_centre, each):
                refutes = refutes or self.decayed(each.value, each.at, now) > 0.0
        self.sound_at[name] = now
        if refutes:
            self.refuted.record(name)
        return refutes

    def merge_sound(self, name, now):
        """Merge that another entry of this data centre was served well by an endpoint."""
        if name in self.reports:
            self.sound_at[name] = now

    def forget(self, names):
        """Drop all endpoints except those in `names`."""
        for known in (self.reports, self.sound_at):
            for name in set(known) - set(names):
                del known[name]
