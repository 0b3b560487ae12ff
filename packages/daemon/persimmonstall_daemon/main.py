"""The persimmonstalld command: reads its settings and runs the role that they name."""

from absl import app, flags

from .launch import launch
from .roles import make_role

SETTINGS = flags.DEFINE_string("settings", None, "Settings file (INI).", required=True)

DRAIN_SECONDS = 960.0
"""Longest graceful shutdown: the longest deadline that a request may have, plus a margin."""


def main(_arguments):
    """Run the daemon until it is told to stop; return its exit code."""
    return launch(SETTINGS.value, make_role, DRAIN_SECONDS)


def run():
    """Entry point of the console script."""
    app.run(main)


if __name__ == "__main__":
    run()
