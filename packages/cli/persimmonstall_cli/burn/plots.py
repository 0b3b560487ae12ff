"""Plots of burn rates as inline SVG."""

import io

from matplotlib.figure import Figure

from persimmonstall.burn.report import FAST_BURN, SLOW_BURN

from .table import format_window

MAX_BARS = 20
PLOT_INCHES = (9.0, 0.35)
"""Width of a plot, and height of each bar."""


def figure_to_svg(figure):
    """Return a figure as an SVG element, without the XML header."""
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    whole = text.getvalue()
    return whole[whole.index("<svg") :]


def burn_plot(rows, objective):
    """Return an SVG bar chart of the worst rows of one objective.

    `rows` are sorted with the worst first; MAX_BARS of them are drawn.
    """
    chosen = [row for row in rows if row.objective == objective][:MAX_BARS]
    figure = Figure(figsize=(PLOT_INCHES[0], 1.2 + PLOT_INCHES[1] * len(chosen) * 2))
    axes = figure.subplots()
    names = [f"{row.organisation} / {row.length_class}" for row in chosen]
    count = len(chosen[0].windows) if chosen else 0
    for index in range(count):
        rates = [row.rates[index] for row in chosen]
        positions = [position + (index - 1) * 0.25 for position in range(len(chosen))]
        label = format_window(chosen[0].windows[index].seconds)
        axes.barh(positions, rates, height=0.22, label=label)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.axvline(1.0, color="grey", linewidth=0.8)
    axes.axvline(SLOW_BURN, color="orange", linewidth=0.8, linestyle="--")
    axes.axvline(FAST_BURN, color="red", linewidth=0.8, linestyle="--")
    axes.set_xlabel("burn rate")
    axes.legend(loc="lower right")
    return figure_to_svg(figure)
