"""Callers that ask for the largest number of output tokens; a server in need names its limit."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig

ENTRIES = 4
LIMIT = 5.0
"""Requests a second that the server in need takes from all machines together."""

STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
MOST = 1.5 * LIMIT * WINDOW_SECONDS + 5
KNOWN_SECONDS = 0.5
"""The rule: from the first on after the server named its limit, no span of the second may have more
requests than the third, of machines that have passed on such an answer for the last."""

LARGEST = 2**64 - 1
USUAL = 200
"""Output tokens that the callers of the streams ask for."""

EVENTS = 14
EVENT_SECONDS = 1.0
CALLS_PER_SECOND = 10
CALLS_SECONDS = 12.0
"""Calls to the server in need, at each machine."""


class Streaming(rig.Server):
    """Sends events."""

    async def respond(self, request, writer):
        fields = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(rig.encode("HTTP/1.1 200 OK", self.headers(request) + fields, length=False))
        for number in range(EVENTS):
            data = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")


async def case(record, scratch, entries):
    store = rig.Store()
    await store.start()
    engine = Streaming("i-1c", "scribe-llm", record)
    needy = rig.Server("i-2d", "registry-app", record)
    needy.extra = [("Server-Limit", f"{LIMIT:g}")]
    routes = [
        rig.route(
            "draft", "scribe-llm", "streaming", timeout_ms=15000, target_latency_ms=2500,
            gap_aim_ms=1000,
        ),
        rig.route("read", "registry-app", "idempotent"),
    ]
    services = [{"name": "scribe-llm", "engine": rig.ENGINE}, {"name": "registry-app"}]
    store.write("op", "config", rig.config(1, routes, services))
    for server in (engine, needy):
        await server.start()
        store.write("servers", server.name, server.row())
    for _ in range(ENTRIES):
        entry = rig.Entry(scratch, store, seeds=[e.peers for e in entries][:3])
        entries.append(entry)
        await entry.start()
    await asyncio.sleep(STABLE_SECONDS)

    tokens = LARGEST if rig.trouble() else USUAL
    streams = []
    for number, entry in enumerate(entries):
        attempt = f"{number}-stream"
        record.add(f"client sends {attempt} to machine {number}: X-Token-Count: 1000,{tokens}")
        streams.append(
            asyncio.create_task(
                rig.call(
                    entry.front, attempt, "/draft/d", b"draft", deadline_ms=15010,
                    X_Token_Count=f"1000,{tokens}",
                )
            )
        )
    passed_on = {}
    outcomes = {}

    async def client(number, count):
        attempt = f"{number}-{count}"
        answer = await rig.call(entries[number].front, attempt, "/read/r", b"", method="GET")
        status = "no answer" if answer is None else answer.status
        outcomes[status] = outcomes.get(status, 0) + 1
        if answer is not None and answer.header("Server-Limit"):
            passed_on.setdefault(number, time.monotonic())

    calls = []
    for count in range(int(CALLS_PER_SECOND * CALLS_SECONDS)):
        for number in range(ENTRIES):
            calls.append(asyncio.create_task(client(number, count)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    await asyncio.gather(*calls)
    for number, answer in enumerate(await asyncio.gather(*streams)):
        whole = answer is not None and answer.complete
        record.add(f"stream {number} ends with {answer and answer.status}, whole: {whole}")
    record.add(f"answers to the clients' reads, by status: {outcomes}")

    first = min(passed_on.values())
    arrivals = []
    for request in needy.arrivals:
        number = int(request.header("X-Attempt-Id").partition("-")[0])
        known = number in passed_on and request.at - passed_on[number] >= KNOWN_SECONDS
        if known and request.at - first >= STABLE_SECONDS:
            arrivals.append((request.at, number))
    worst = []
    for start, _ in arrivals:
        span = [each for each in arrivals if start <= each[0] < start + WINDOW_SECONDS]
        worst = max(worst, span, key=len)
    record.add(f"the server named its limit of {LIMIT:g} a second first at second 0")
    for at, number in worst:
        record.add(f"second {at - first:.3f}: request from machine {number} reaches the server")
    record.add(f"{len(worst)} requests in {WINDOW_SECONDS:g} s; the rule allows {MOST:g}")
    return len(worst) > MOST


rig.main(case, __file__)
