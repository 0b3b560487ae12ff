"""Reads the settings and runs one daemon's service until it has drained."""

import sys

import aiomisc

from persimmonstall import settings as settings_package

from .observe import logs

BAD_SETTINGS = 2
"""Exit code for invalid settings."""


def launch(path, make_service, drain_seconds, stream=None):
    """Run the service that `make_service(settings)` returns; return the exit code.

    `drain_seconds` limits the graceful shutdown; log lines go to `stream`.
    """
    settings, problems = settings_package.load(path)
    problems += settings_package.unreadable_files(settings, path)
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        return BAD_SETTINGS
    logs.configure(settings, stream)
    service = make_service(settings)
    with aiomisc.entrypoint(
        service, catch_signals=(), log_config=False, shutdown_timeout=drain_seconds
    ) as loop:
        loop.run_until_complete(service.drained.wait())
    return 0
