"""The persimmonstalld binary: reads its settings and runs the role that they name."""

import sys

import aiomisc
from absl import app, flags

from persimmonstall import settings as checked

from .observe import logs
from .roles import ROLES

SETTINGS = flags.DEFINE_string("settings", None, "Settings file (INI).", required=True)
BAD_SETTINGS = 2
DRAIN_SECONDS = 960.0
"""Longest graceful shutdown: the longest deadline that a request may have, and some."""


def main(_arguments):
    """Run the daemon until it is told to stop; return its exit code."""
    settings, problems = checked.load(SETTINGS.value)
    problems += checked.unreadable_files(settings, SETTINGS.value)
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        return BAD_SETTINGS
    logs.configure(settings)
    service = ROLES[settings.daemon.role](settings)
    with aiomisc.entrypoint(
        service, catch_signals=(), log_config=False, shutdown_timeout=DRAIN_SECONDS
    ) as loop:
        loop.run_until_complete(service.drained.wait())
    return 0


def run():
    """Entry point of the console script."""
    app.run(main)


if __name__ == "__main__":
    run()
