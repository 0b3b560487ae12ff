"""Summarises the results of a load test by length class."""

import attrs
import numpy as np

from persimmonstall.lengths import classify

from ..report import Report

QUANTILES = (50, 95, 99)
CLASSES = ("short", "medium", "long", "giant")


@attrs.frozen
class ClassSummary:
    """Results of one length class in one phase; times in seconds, None without values.

    `in_time` counts whole answers within the deadline. `first` and `between` are the QUANTILES
    of the time to first token and of the mean time between output tokens.
    Field names are the keys of the JSON report.
    """

    phase: str
    length_class: str
    sent: int
    whole: int
    not_run: int
    unknown: int
    broken: int
    in_time: int
    first: tuple
    between: tuple
    tokens: int


def quantiles(values):
    """Return the 50th, 95th and 99th percentile, or None for each without values."""
    found = [value for value in values if value is not None]
    if not found:
        return (None,) * len(QUANTILES)
    return tuple(float(value) for value in np.percentile(found, QUANTILES))


def summarise(results, lengths, deadline):
    """Return a `ClassSummary` per phase and class; `lengths` is the settings section."""
    summaries = []
    for phase in ("alone", "mixed"):
        for name in CLASSES:
            chosen = [
                one
                for one in results
                if one.phase == phase and classify(one.planned.tokens, lengths) == name
            ]
            if chosen:
                summaries.append(summarise_class(phase, name, chosen, deadline))
    return summaries


def summarise_class(phase, name, results, deadline):
    """Return the `ClassSummary` of the results of one class in one phase."""
    whole = [one for one in results if one.whole]
    return ClassSummary(
        phase=phase,
        length_class=name,
        sent=len(results),
        whole=len(whole),
        not_run=count_outcome(results, "not_run"),
        unknown=count_outcome(results, "unknown"),
        broken=count_outcome(results, "broken"),
        in_time=sum(1 for one in whole if not deadline or one.ended <= deadline),
        first=quantiles(one.first_token for one in whole),
        between=quantiles(one.token_interval for one in whole),
        tokens=sum(one.tokens for one in whole),
    )


def count_outcome(results, outcome):
    """Return the number of results with an outcome."""
    return sum(1 for one in results if one.outcome == outcome)


def slowdowns(results):
    """Return the slowdown of each short request in the mix, by request number.

    It is the time to first token in the mix divided by that of the same request sent alone.
    """
    alone = {one.planned.number: one.first_token for one in results if one.phase == "alone"}
    ratios = {}
    for one in results:
        base = alone.get(one.planned.number)
        if one.phase == "mixed" and base and one.first_token is not None:
            ratios[one.planned.number] = one.first_token / base
    return ratios


def load_report(results, lengths, deadline):
    """Return the `Report` of a load."""
    summaries = summarise(results, lengths, deadline)
    columns = ("phase", "class", "sent", "whole", "not run", "unknown", "broken", "in time")
    columns += ("first p50", "first p95", "first p99", "between p95", "tokens")
    rows = tuple(map(table_row, summaries))
    ratios = quantiles(slowdowns(results).values())
    codes = sorted({one.code for one in results if one.code})
    note = "times in seconds; codes: " + (", ".join(codes) or "none")
    if ratios[0] is not None:
        formatted = ", ".join(
            f"p{q} {value:.2f}" for q, value in zip(QUANTILES, ratios, strict=True)
        )
        note += f"\nslowdown of short requests against the same alone: {formatted}"
    data = {
        "classes": [attrs.asdict(one) for one in summaries],
        "slowdown": ratios,
        "codes": codes,
        "held_back": max((one.send_delay for one in results), default=0.0),
    }
    return Report(columns, rows, note, data)


def table_row(summary):
    """Return one row of the table."""
    times = (*summary.first, summary.between[1])
    formatted = tuple("-" if value is None else f"{value:.3f}" for value in times)
    leading_cells = attrs.astuple(summary)[:8]
    return (*leading_cells, *formatted, summary.tokens)
