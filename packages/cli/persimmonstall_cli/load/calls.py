"""Plain calls of several methods, with and without a body: sending and report."""

import asyncio
import time

import aiohttp
import attrs

from persimmonstall_daemon.bounded_http import send_once

from ..report import Report
from .call_plan import PlannedCall, plan_calls
from .summary import QUANTILES, quantiles

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a call has not run."""

CALL_ID = "{id}"
"""Placeholder for the id of a call in the values of headers."""


@attrs.define
class CallResult:
    """Result of one call; `status` is 0 without a complete answer, and `error` says why.

    `seconds` is the time from when it was due to its end.
    """

    planned: PlannedCall
    status: int = 0
    error: str = ""
    seconds: float = 0.0


@attrs.frozen
class CallSummary:
    """Results of the calls of one method; field names are the keys of the JSON report.

    `not_run` counts the statuses that promise so, `failed` other ones than success, `broken` the
    calls without a complete answer.  `seconds` are the QUANTILES of the times of successes.
    """

    method: str
    body: bool
    sent: int
    succeeded: int
    not_run: int
    failed: int
    broken: int
    seconds: tuple


class PlainCaller:
    """Sends planned calls over one HTTP session, each of them at most once."""

    def __init__(self, session, options):
        self.session = session
        self.options = options

    def headers(self, planned):
        """Return the headers of a call, with its id in place of `CALL_ID`."""
        name = f"{self.options.seed}-{planned.number}"
        return {header: value.replace(CALL_ID, name) for header, value in self.options.headers}

    async def call(self, url, planned, due):
        """Send one call, due at `due` on the monotonic clock; return its `CallResult`."""
        result = CallResult(planned)
        try:
            async with asyncio.timeout(self.options.timeout):
                result.status = await self.exchange(url, planned)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            result.error = type(error).__name__
        result.seconds = time.monotonic() - due
        return result

    async def exchange(self, url, planned):
        """Send the call and read its whole answer; return the status."""
        body = b"x" * planned.body_bytes or None
        async with self.session.request(
            planned.method,
            url + self.options.target,
            data=body,
            headers=self.headers(planned),
            allow_redirects=False,
        ) as answer:
            await answer.read()
            return answer.status


async def run_calls(options, urls):
    """Send the planned calls to `urls` in turn; return their `CallResult`s."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, middlewares=(send_once,)) as session:
        caller = PlainCaller(session, options)
        start = time.monotonic()
        tasks = []
        for planned in plan_calls(options):
            due = start + planned.send_time
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            url = urls[planned.number % len(urls)]
            tasks.append(asyncio.create_task(caller.call(url, planned, due)))
        return await asyncio.gather(*tasks)


def summarise_calls(results):
    """Return a `CallSummary` for each method, without and with a body."""
    groups = {}
    for result in results:
        planned = result.planned
        groups.setdefault((planned.method, planned.body_bytes > 0), []).append(result)
    return [summarise_group(*key, group) for key, group in sorted(groups.items())]


def summarise_group(method, body, results):
    """Return the `CallSummary` of the results of one method."""
    statuses = [result.status for result in results]
    succeeded = [result for result in results if 200 <= result.status < 300]
    not_run = sum(status in NOT_RUN_STATUSES for status in statuses)
    broken = statuses.count(0)
    return CallSummary(
        method=method,
        body=body,
        sent=len(results),
        succeeded=len(succeeded),
        not_run=not_run,
        failed=len(results) - len(succeeded) - not_run - broken,
        broken=broken,
        seconds=quantiles(result.seconds for result in succeeded),
    )


def calls_report(results):
    """Return the `Report` of a load of plain calls."""
    summaries = summarise_calls(results)
    columns = ("method", "body", "sent", "succeeded", "not run", "failed", "broken")
    columns += tuple(f"p{quantile}" for quantile in QUANTILES)
    statuses = sorted({result.status for result in results if result.status})
    errors = sorted({result.error for result in results if result.error})
    note = f"times in seconds; statuses: {statuses}; errors: {', '.join(errors) or 'none'}"
    data = [attrs.asdict(summary) for summary in summaries]
    return Report(columns, tuple(map(table_row, summaries)), note, data)


def table_row(summary):
    """Return one row of the table."""
    times = ("-" if value is None else f"{value:.3f}" for value in summary.seconds)
    return (*attrs.astuple(summary)[:-1], *times)
