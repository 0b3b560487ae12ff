"""Compare the placement policies on a simulated fleet; results are reproducible from seeds.

`--set=short` prints the tables in less than five minutes. `--set=long` rebuilds the tables and
plots of docs/MEASUREMENTS.md. For one seed, every policy gets the same requests.
"""

import concurrent.futures
import itertools
import math
import pathlib
import statistics

import matplotlib as mpl
import tabulate
from absl import app, flags

from persimmonstall_standins.experiment.figures import CLASSES, figures_of, summary
from persimmonstall_standins.experiment.mix import MIXES
from persimmonstall_standins.experiment.run import FAULTS, Plan, run_plan

mpl.use("svg")
from matplotlib import pyplot

FLAGS = flags.FLAGS
flags.DEFINE_enum("set", "short", ("short", "long"), "Set of simulations to run.")
flags.DEFINE_integer("workers", 4, "Number of worker processes.", lower_bound=1, upper_bound=4)

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "MEASUREMENTS.md"
PLOTS = ROOT / "docs" / "measurements"
BEGIN = "<!-- begin tables -->"
END = "<!-- end tables -->"

POLICIES = ("round_robin", "least_outstanding", "random_two", "length")
LOADS = (0.5, 0.7, 0.85, 0.95, 1.2)
MAIN_LOAD = 0.85
OVERLOAD = 1.2
SEEDS = (1, 2, 3)
SHORT_SECONDS = {"seconds": 25.0, "warm_up": 10.0}
LONG_SECONDS = {"seconds": 30.0, "warm_up": 10.0}
SLOWDOWN_TARGET = 1.25
FIRST_TOKEN_TARGET = 0.95
LONG_TARGET = 0.99
GOODPUT_TARGET = 0.95


def plans_of(name):
    """Return the plans of the set `name`."""
    mixes = tuple(MIXES)
    if name == "short":
        main_runs = itertools.product(POLICIES, mixes, (MAIN_LOAD,), SEEDS[:2])
        overload_runs = itertools.product(
            ("least_outstanding", "length"), mixes, (OVERLOAD,), SEEDS[:1]
        )
        return [Plan(*item, **SHORT_SECONDS) for item in (*main_runs, *overload_runs)]
    plans = [
        Plan(policy, mix, load, seed, **LONG_SECONDS)
        for policy, mix, load in itertools.product(POLICIES, mixes, LOADS)
        for seed in (SEEDS if load == MAIN_LOAD else SEEDS[:1])
    ]
    compared = ("least_outstanding", "length")
    faults = itertools.product(compared, mixes, (MAIN_LOAD,), SEEDS[:1], FAULTS[1:])
    return plans + [Plan(*item, **LONG_SECONDS) for item in faults]


def run_one(plan):
    """Run one plan in a worker process; return it with its `Figures`."""
    return plan, figures_of(run_plan(plan))


def run_all(plans):
    """Return {(mix, load, fault, policy): [Figures of each seed]}."""
    results = {}
    with concurrent.futures.ProcessPoolExecutor(FLAGS.workers) as pool:
        for plan, figures in pool.map(run_one, plans):
            key = (plan.mix, plan.load, plan.fault, plan.policy)
            results.setdefault(key, []).append(figures)
    return results


def mean_first_token(figures):
    """Return the geometric mean over length classes of the p95 time to first token, in s."""
    firsts = [figures.first[kind][1] for kind in CLASSES if figures.first[kind][1]]
    return math.exp(statistics.fmean(map(math.log, firsts)))


def median_and_range(runs, value, digits=2):
    """Return the median over seeds as text, with the range if there are several."""
    median, low, high = summary(runs, value)
    text = f"{median:.{digits}f}"
    return text if len(runs) == 1 else f"{text} ({low:.{digits}f} to {high:.{digits}f})"


COLUMNS = (
    ("first token short p50/p95/p99 s", lambda s: first_token_percentiles(s, "short")),
    ("medium", lambda s: first_token_percentiles(s, "medium")),
    ("long", lambda s: first_token_percentiles(s, "long")),
    ("giant", lambda s: first_token_percentiles(s, "giant")),
    ("short within 0.46 s %", lambda s: median_and_range(s, lambda f: 100 * f.first_in_time, 1)),
    ("slowdown p95", lambda s: median_and_range(s, lambda f: f.slowdown[1])),
    ("first token slowdown p95", lambda s: median_and_range(s, lambda f: f.first_slowdown[1], 1)),
    ("across lengths s", lambda s: median_and_range(s, mean_first_token)),
    ("in time %", lambda s: median_and_range(s, lambda f: 100 * f.in_time, 1)),
    ("long in time %", lambda s: median_and_range(s, lambda f: 100 * f.long_in_time, 1)),
    ("goodput k tokens/s", lambda s: median_and_range(s, lambda f: f.goodput / 1000, 0)),
    ("refused %", lambda s: median_and_range(s, lambda f: 100 * f.refused, 1)),
    ("failed %", lambda s: median_and_range(s, lambda f: 100 * f.failed, 1)),
    ("wasted %", lambda s: median_and_range(s, lambda f: 100 * f.wasted, 1)),
    ("between tokens p95 ms", lambda s: median_and_range(s, lambda f: f.gap_p95, 0)),
)


def first_token_percentiles(runs, kind):
    """Return p50/p95/p99 of the time to first token of a class, each the median over seeds."""
    parts = zip(*(figures.first[kind] for figures in runs), strict=True)
    return "/".join(f"{statistics.median(part):.2f}" for part in parts)


def tables(results):
    """Return one Markdown table for each combination of mix, load and fault."""
    text = []
    for mix, load, fault in sorted({key[:3] for key in results}):
        rows = []
        for policy in POLICIES:
            runs = results.get((mix, load, fault, policy))
            if runs:
                rows.append((policy, len(runs), *(column(runs) for _, column in COLUMNS)))
        headers = ("policy", "seeds", *(name for name, _ in COLUMNS))
        text.append(f"### {mix}, {load:.0%} of the fleet, {fault.replace('_', ' ')}\n")
        text.append(tabulate.tabulate(rows, headers, tablefmt="pipe", disable_numparse=True))
        text.append("")
    return "\n".join(text)


def targets(results):
    """Return the Markdown table of the targets, which were set in issue 5."""
    rows = []
    for mix in MIXES:
        main_runs = results[mix, MAIN_LOAD, "steady", "length"]
        slowdown = summary(main_runs, lambda f: f.slowdown[1])[0]
        first = summary(main_runs, lambda f: f.first_in_time)[0]
        long = summary(main_runs, lambda f: f.long_in_time)[0]
        rows.append((mix, "slowdown of short p95", "at most 1.25", f"{slowdown:.2f}"))
        rows[-1] += (slowdown <= SLOWDOWN_TARGET,)
        rows.append((mix, "short within 0.46 s", "95 %", f"{first:.1%}"))
        rows[-1] += (first >= FIRST_TOKEN_TARGET,)
        rows.append((mix, "long within deadline", "99 %", f"{long:.1%}"))
        rows[-1] += (long >= LONG_TARGET,)
        rows.append((mix, *goodput_target(results, mix)))
        rows.append((mix, *baseline_target(results, mix)))
    cells = [(*row[:-1], "yes" if row[-1] else "NO") for row in rows]
    headers = ("mix", "figure", "target", "measured", "reached")
    return tabulate.tabulate(cells, headers, tablefmt="pipe", disable_numparse=True)


def goodput_target(results, mix):
    """Return the row of the target for goodput under overload."""
    goodputs = {
        load: summary(results[mix, load, "steady", "length"], lambda f: f.goodput)[0]
        for load in LOADS
        if (mix, load, "steady", "length") in results
    }
    ratio = goodputs[OVERLOAD] / max(goodputs.values())
    return ("goodput at 120 %", "95 % of its peak", f"{ratio:.1%}", ratio >= GOODPUT_TARGET)


def baseline_target(results, mix):
    """Return the row that compares `length` with the best other policy.

    The users judge a policy by different figures: cairo by the first token of all length
    classes, the others by the slowdown of short requests.
    """
    value = mean_first_token if mix == "cairo" else lambda figures: figures.slowdown[1]
    name = "first token across lengths" if mix == "cairo" else "slowdown of short p95"
    scores = {
        policy: summary(results[mix, MAIN_LOAD, "steady", policy], value)[0] for policy in POLICIES
    }
    length_score = scores.pop("length")
    best = min(scores.values())
    return (
        f"{name} against the best baseline",
        f"under {best:.2f}",
        f"{length_score:.2f}",
        length_score < best,
    )


def plot(results):
    """Plot the main figures against the load, one file for each mix."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    panels = (
        ("short: first token p95 (s)", lambda f: f.first["short"][1]),
        ("short: slowdown p95", lambda f: f.slowdown[1]),
        ("long: first token p95 (s)", lambda f: f.first["long"][1]),
        ("goodput (k tokens/s)", lambda f: f.goodput / 1000),
    )
    mpl.rcParams["svg.hashsalt"] = "persimmonstall"
    for mix in MIXES:
        figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), layout="constrained")
        for axis, (title, value) in zip(axes.flat, panels, strict=True):
            for policy in POLICIES:
                points = [
                    (load, summary(results[mix, load, "steady", policy], value)[0])
                    for load in LOADS
                ]
                axis.plot(*zip(*points, strict=True), marker="o", label=policy)
            axis.set_title(title)
            axis.set_xlabel("load (1.0 is the whole fleet)")
            axis.set_ylim(bottom=0)
        axes.flat[0].legend()
        figure.savefig(PLOTS / f"{mix}.svg", metadata={"Date": None})


def write_page(text):
    """Replace the text between the table markers of the page."""
    page = PAGE.read_text(encoding="utf-8")
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f"{head}{BEGIN}\n{text}\n{END}{tail}", encoding="utf-8")


def main(arguments):
    """Run the chosen set and print its tables; the long set also rewrites the page."""
    del arguments
    results = run_all(plans_of(FLAGS.set))
    text = f"## Targets\n\n{targets(results)}\n\n## Figures\n\n{tables(results)}"
    print(text)
    if FLAGS.set == "long":
        plot(results)
        write_page(text)


if __name__ == "__main__":
    app.run(main)
