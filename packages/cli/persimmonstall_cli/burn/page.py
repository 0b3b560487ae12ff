"""The burn report as a self-contained HTML page."""

import html

from tabulate import tabulate

from persimmonstall.burn import Objective

from .plots import burn_plot
from .table import burn_report

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;"
    "text-align:left}svg{max-width:100%;height:auto}"
)

EXPLANATION = (
    "A burn rate of 1 uses up exactly the error budget of the objective. The dashed lines mark "
    "the thresholds of slow and fast burn. Events in a window decay exponentially over its "
    "length."
)


def burn_page(rows, title):
    """Return the HTML page for merged `BurnRow`s."""
    report = burn_report(rows)
    table = tabulate(report.rows, headers=report.columns, tablefmt="html")
    sections = [section(rows, objective) for objective in Objective]
    return (
        "<!DOCTYPE html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{html.escape(title)}</title>'
        f"<style>{STYLE}</style></head><body>"
        f"<h1>{html.escape(title)}</h1><p>{EXPLANATION}</p>{''.join(sections)}"
        f"<h2>All rows</h2>{table}</body></html>\n"
    )


def section(rows, objective):
    """Return the heading and plot of one objective, or "" without rows."""
    if not any(row.objective == objective for row in rows):
        return ""
    heading = str(objective).replace("_", " ")
    return f"<h2>{heading}</h2>{burn_plot(rows, objective)}"
