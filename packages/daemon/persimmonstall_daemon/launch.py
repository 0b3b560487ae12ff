"""Reads the settings and runs one daemon's service until it has drained."""

import asyncio
import os
import sys

import aiomisc

from persimmonstall import settings as settings_package

from .observe import logs

LOG = logs.get("daemon")

BAD_SETTINGS = 2
"""Exit code for invalid settings."""


def launch(path, make_service, drain_seconds, stream=None):
    """Run the service that `make_service(settings)` returns, then end the process.

    Return the exit code if the settings are invalid.  `drain_seconds` limits the graceful
    shutdown; log lines go to `stream`.
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
        loop.run_until_complete(stop(service, drain_seconds))
        end_process()
    return 0


async def stop(service, seconds):
    """Stop a service; give up after some seconds."""
    try:
        async with asyncio.timeout(seconds):
            await service.stop()
    except TimeoutError:
        LOG.error("stop_given_up", seconds=seconds, reason="not done in time")


def end_process():
    """End this process at once, with its sockets closed and its log written.

    The interpreter would first free all objects one by one, which can take seconds on a busy
    machine, while its supervisor waits for the end.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
