"""`load`: sends a mix of requests at a given rate and reports the results."""

import asyncio
import sys

from absl import flags

from persimmonstall.failures import Failure, Reason
from persimmonstall.settings import Settings, load

from ..command import Command
from ..load.mix import DEFAULT_MIX
from ..load.plan import LoadOptions

STEP = "load"


def define_flags(values):
    """Define the flags of `load`."""
    options = {"flag_values": values}
    flags.DEFINE_list("url", ["http://127.0.0.1:8000"], "Base URLs of the entries.", **options)
    flags.DEFINE_string("api_key", "", "Caller's key.", **options)
    flags.DEFINE_string("model", "", "Model to call.", **options)
    flags.DEFINE_float(
        "rate", 5.0, "Mean number of requests a second.", lower_bound=0.001, **options
    )
    flags.DEFINE_float("seconds", 20.0, "Time for which requests are sent.", **options)
    flags.DEFINE_string("mix", DEFAULT_MIX, "Prompt lengths as LOW-HIGH:WEIGHT,...", **options)
    flags.DEFINE_integer("asked", 4096, "max_tokens of every request.", **options)
    flags.DEFINE_float(
        "deadline", 0.0, "Deadline in seconds; 0 for the entry's default.", **options
    )
    flags.DEFINE_float("stream_share", 1.0, "Share of requests that are streamed.", **options)
    flags.DEFINE_integer(
        "seed", 1, "Random seed of the arrival times and prompt lengths.", **options
    )
    flags.DEFINE_boolean(
        "alone",
        False,
        "Send the short requests alone first, to measure their slowdown.",
        **options,
    )
    flags.DEFINE_string("plot", None, "File for a plot (png, svg or pdf).", **options)
    flags.DEFINE_string("settings", None, "Settings file with the length classes.", **options)


def run_load_command(invocation):
    """Run the load and return its report.

    aiohttp and NumPy are imported here, so that other commands start quickly.
    """
    from ..load.run import run_load
    from ..load.summary import load_report

    values = invocation.flags
    settings, problems = load(values.settings) if values.settings else (Settings(), [])
    if problems:
        return Failure(Reason.BAD_REQUEST, STEP, detail="\n".join(map(str, problems)))
    wanted = LoadOptions(
        rate=values.rate,
        seconds=values.seconds,
        mix=values.mix,
        max_tokens=values.asked,
        deadline=values.deadline,
        model=values.model,
        stream_share=values.stream_share,
        seed=values.seed,
        token_bytes=settings.callers.token_bytes,
    )
    short = settings.lengths.short
    running = run_load(wanted, values.url, values.api_key, short, values.alone, show_progress)
    try:
        results = asyncio.run(running)
    except ValueError as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=f"--mix: invalid part: {error}")
    if values.plot:
        write_plot(results, values.plot)
    return load_report(results, settings.lengths, values.deadline)


def write_plot(results, path):
    """Write the plot; matplotlib is imported only if a plot is wanted."""
    from ..load.plot import save_plot

    save_plot(results, path)


def show_progress(sent, done, planned):
    """Print the progress of the load to standard error."""
    print(f"sent {sent}, finished {done}, of {planned}", file=sys.stderr)


COMMANDS = (
    Command("load", "Send a mix of requests at a given rate.", run_load_command, (), define_flags),
)
