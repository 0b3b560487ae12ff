"""Plots the results of a load: time to first token and slowdown of short requests."""

from matplotlib.figure import Figure

from .summary import slowdowns


def save_plot(results, path):
    """Write the plot to `path`; the suffix selects the format (png, svg, pdf)."""
    figure = Figure(figsize=(9, 8))
    upper, lower = figure.subplots(2, 1)
    draw_first_token(upper, results)
    draw_slowdown(lower, results)
    figure.tight_layout()
    figure.savefig(path)


def draw_first_token(axes, results):
    """Draw the time to first token against the prompt length."""
    for phase, mark in (("alone", "+"), ("mixed", ".")):
        chosen = [one for one in results if one.phase == phase and one.first_token is not None]
        if chosen:
            tokens = [one.planned.tokens for one in chosen]
            axes.plot(tokens, [one.first_token for one in chosen], mark, label=phase)
            axes.legend()
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("prompt length, tokens")
    axes.set_ylabel("time to first token, s")


def draw_slowdown(axes, results):
    """Draw the cumulative distribution of the slowdown of short requests."""
    ratios = sorted(slowdowns(results).values())
    shares = [(index + 1) / len(ratios) for index in range(len(ratios))]
    axes.plot(ratios, shares)
    axes.set_xlabel("slowdown of short requests against the same alone")
    axes.set_ylabel("share of requests")
