"""Sums the steps and faults that randomised tests report with `record_property`."""

from collections import Counter

COUNTED = ("steps", "faults")


def pytest_terminal_summary(terminalreporter):
    """Print the total steps and faults of all passed tests that report them."""
    totals = Counter()
    for report in terminalreporter.stats.get("passed", ()):
        counts = dict(report.user_properties)
        if report.when == "call" and "steps" in counts:
            totals.update({name: counts.get(name, 0) for name in COUNTED})
            totals["runs"] += 1
    if totals["runs"]:
        terminalreporter.write_line(
            f"randomised runs without a violation: {totals['runs']}, "
            f"{totals['steps']} steps, {totals['faults']} faults"
        )
