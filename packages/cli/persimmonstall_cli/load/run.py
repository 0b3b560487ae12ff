"""Runs a planned load against entries as an open loop: arrivals do not wait for responses."""

import asyncio
import time

import aiohttp

from persimmonstall_daemon.bounded_http import send_once

from .caller import Caller
from .plan import plan_requests

PROGRESS_SECONDS = 2.0


async def run_plan(load, planned, urls, key, progress=None):
    """Send the planned requests to `urls` in turn; return their `Result`s."""
    connector = aiohttp.TCPConnector(limit=0)
    options = {"connector": connector, "middlewares": (send_once,), "read_bufsize": 2**20}
    async with aiohttp.ClientSession(**options) as session:
        caller = Caller(session, load, key)
        start = time.monotonic()
        tasks = []
        last_progress = start
        for one in planned:
            due = start + one.send_time
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            url = urls[one.number % len(urls)]
            tasks.append(asyncio.create_task(caller.call(url, one, due)))
            if progress and time.monotonic() - last_progress >= PROGRESS_SECONDS:
                last_progress = time.monotonic()
                progress(len(tasks), sum(task.done() for task in tasks), len(planned))
        return await asyncio.gather(*tasks)


async def run_load(load, urls, key, short, alone=False, progress=None):
    """Run a load and return all results.

    With `alone`, the requests with at most `short` prompt tokens are first sent by
    themselves, as the baseline of their slowdown in the mix.
    """
    planned = plan_requests(load)
    results = []
    if alone:
        short_requests = tuple(one for one in planned if one.tokens <= short)
        for result in await run_plan(load, short_requests, urls, key, progress):
            result.phase = "alone"
            results.append(result)
    results.extend(await run_plan(load, planned, urls, key, progress))
    return results
