"""`load calls`: sends plain calls of several methods at a given rate and reports the results."""

import asyncio

from absl import flags

from ..command import Command, usage_failure
from ..load.call_plan import DEFAULT_METHODS, CallOptions


def define_flags(values):
    """Define the flags of `load calls`."""
    options = {"flag_values": values}
    flags.DEFINE_list("url", ["http://127.0.0.1:8000"], "Base URLs of the entries.", **options)
    flags.DEFINE_list("methods", list(DEFAULT_METHODS), "Methods, chosen at random.", **options)
    flags.DEFINE_multi_string(
        "header", [], "Header NAME: VALUE of every call; {id} is the call's id.", **options
    )
    flags.DEFINE_float("rate", 20.0, "Mean number of calls a second.", 0.001, **options)
    flags.DEFINE_float("seconds", 10.0, "Time for which calls are sent.", **options)
    flags.DEFINE_integer("body_bytes", 600, "Size of a body.", 0, **options)
    flags.DEFINE_float("body_share", 0.5, "Share of calls with a body.", 0.0, 1.0, **options)
    flags.DEFINE_float("wait", 5.0, "Timeout of a call in seconds.", 0.0, **options)
    flags.DEFINE_integer("seed", 1, "Random seed of the plan.", **options)


def parse_header(text):
    """Return the name and the value of a header line, None if it is malformed.

    >>> parse_header("X-Id: {id}"), parse_header("X-Id")
    (('X-Id', '{id}'), None)
    """
    name, separator, value = text.partition(":")
    return (name.strip(), value.strip()) if separator and name.strip() else None


def run_calls_command(invocation):
    """Run the load and return its report.

    aiohttp and NumPy are imported here, so that other commands start quickly.
    """
    from ..load.calls import calls_report, run_calls

    values, (target,) = invocation.flags, invocation.arguments
    headers = tuple(map(parse_header, values.header))
    if None in headers:
        return usage_failure("--header: expected NAME: VALUE")
    options = CallOptions(
        target,
        tuple(values.methods),
        values.rate,
        values.seconds,
        values.body_bytes,
        values.body_share,
        headers,
        values.wait,
        values.seed,
    )
    return calls_report(asyncio.run(run_calls(options, values.url)))


COMMANDS = (
    Command(
        "load calls",
        "Send plain calls of several methods at a given rate.",
        run_calls_command,
        ("PATH",),
        define_flags,
    ),
)
