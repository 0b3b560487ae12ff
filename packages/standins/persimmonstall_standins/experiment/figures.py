"""Figures of a run, computed from its records: latency, slowdown, goodput and refusals."""

import statistics

import attrs

CLASSES = ("short", "medium", "long", "giant")
FIRST_TOKEN_OBJECTIVE = 0.46
"""Objective for the first token of a short prompt, in seconds."""


@attrs.frozen
class Figures:
    """Figures of one run or, as medians, of several with different seeds.

    `first` maps a class to the (p50, p95, p99) of its time to first token in seconds, where
    a request that was refused or failed counts with its deadline.  `slowdown` is the p50 and
    p95 of the total time of short requests relative to the same requests on an idle engine,
    `first_slowdown` the same of their first token.  `goodput` is the prompt and output tokens per
    second of requests answered in time.  `refused` and `failed` are shares of all requests.
    `first_in_time` is the share of short requests within FIRST_TOKEN_OBJECTIVE, `in_time` and
    `long_in_time` the shares of admitted requests answered by their deadline.  `wasted` is the
    share of prefilled tokens not needed for a whole answer, `gap_p95` the 95th percentile of the
    time between tokens in milliseconds.
    """

    requests: float
    first: dict
    slowdown: tuple
    first_slowdown: tuple
    first_in_time: float
    in_time: float
    long_in_time: float
    goodput: float
    refused: float
    failed: float
    wasted: float
    gap_p95: float


def quantile(values, share):
    """Return the nearest-rank quantile of a list, 0 for an empty list.

    >>> quantile([3, 1, 2], 0.5), quantile([], 0.5)
    (2, 0.0)
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def share(part, whole):
    """Return part / whole, or 1 if `whole` is 0."""
    return part / whole if whole else 1.0


def in_time(record):
    """Return whether a request got its whole answer within its deadline plus 0.1 s."""
    return record.outcome == "whole" and record.end <= record.deadline + 0.1


def first_token_seconds(record):
    """Return the time to first token, or the deadline of a request without a whole answer."""
    return record.first if record.outcome == "whole" else record.deadline


def figures_of(result):
    """Return the `Figures` of one run, without the requests of its warm-up."""
    plan = result.plan
    records = [record for record in result.records if record.at >= plan.warm_up]
    whole = [record for record in records if record.outcome == "whole"]
    refused = [record for record in records if not record.first and record.outcome != "whole"]
    admitted = [record for record in records if record not in set(refused)]
    long = [record for record in admitted if record.length_class in ("long", "giant")]
    whole_short = [record for record in whole if record.length_class == "short"]
    all_short = [record for record in records if record.length_class == "short"]
    last = plan.warm_up + plan.seconds
    good = [
        record
        for record in result.records
        if in_time(record) and plan.warm_up <= record.at + record.end < last
    ]
    needed = sum(r.tokens - r.cached for r in result.records if r.outcome == "whole")
    first = {
        kind: tuple(
            quantile([first_token_seconds(r) for r in records if r.length_class == kind], part)
            for part in (0.5, 0.95, 0.99)
        )
        for kind in CLASSES
    }
    slowdowns = [record.end / record.alone_end for record in whole_short]
    first_slowdowns = [record.first / record.alone_first for record in whole_short]
    short_in_time = [record for record in whole_short if record.first <= FIRST_TOKEN_OBJECTIVE]
    return Figures(
        requests=len(records),
        first=first,
        slowdown=(quantile(slowdowns, 0.5), quantile(slowdowns, 0.95)),
        first_slowdown=(quantile(first_slowdowns, 0.5), quantile(first_slowdowns, 0.95)),
        first_in_time=share(len(short_in_time), len(all_short)),
        in_time=share(len([r for r in admitted if in_time(r)]), len(admitted)),
        long_in_time=share(len([r for r in long if in_time(r)]), len(long)),
        goodput=sum(record.tokens + record.count for record in good) / plan.seconds,
        refused=share(len(refused), len(records)) if records else 0.0,
        failed=share(len(admitted) - len(whole), len(records)) if records else 0.0,
        wasted=max(0.0, 1.0 - share(needed, result.prefilled)),
        gap_p95=gap_quantile(result.gaps, 0.95),
    )


def gap_quantile(gaps, part):
    """Return a quantile of the times between tokens, in milliseconds."""
    total = sum(gaps.values())
    seen = 0
    for gap in sorted(gaps):
        seen += gaps[gap]
        if seen >= part * total:
            return float(gap)
    return 0.0


def summary(several, value):
    """Return (median, minimum, maximum) of `value(figures)` over several runs."""
    values = [value(figures) for figures in several]
    return statistics.median(values), min(values), max(values)
