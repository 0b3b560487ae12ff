"""A new route is opened in the first second of an entry that started while the store was away."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig

AWAY_SECONDS = 0.25
"""Time for which the store turns the machine away, from the machine's first call."""

CLIENTS = 40
EARLY_CLIENTS = 10
CLIENT_PAUSE_SECONDS = 0.004
"""Clients of the new route, those of them that come before it is confirmed, and the time between
two of them."""


async def case(record, scratch, entries):
    store = rig.Store()
    await store.start()
    server = rig.Server("i-7f3a91c2", "registry-app", record)
    await server.start()
    routes = [rig.route("reads", "registry-app", "idempotent")]
    services = [{"name": "registry-app", "health_path": "/health"}]
    store.write("op", "config", rig.config(1, routes, services))
    store.write("servers", server.name, server.row())

    def fault(path, query):
        away = store.calls and time.monotonic() - store.calls[0][0] < AWAY_SECONDS
        return 503 if rig.trouble() and away else None

    store.fault = fault
    entry = rig.Entry(scratch, store)
    entries.append(entry)
    await entry.launch()
    await entry.wait_ready(pause=0.005)
    record.add("the entry says that it is ready")

    sent = {}

    async def client(number):
        attempt = f"{number:016x}"
        body = f'{{"appointment": {number}, "person": "clerk {number}"}}'.encode()
        sent[attempt] = body
        record.add(f"client sends {attempt}: POST /filings/f, {len(body)} bytes of body")
        answer = await rig.call(entry.front, attempt, "/filings/f", body)
        text = "no answer" if answer is None else f"{answer.status}"
        record.add(f"client of {attempt} gets {text}")

    routes = [*routes, rig.route("filings", "registry-app", "non_idempotent", attempts=1)]
    tasks = []
    for number in range(CLIENTS):
        if number == EARLY_CLIENTS:
            store.write("op", "config", rig.config(2, routes, services))
            record.add("the store has confirmed version 2, which adds the route /filings/")
        tasks.append(asyncio.create_task(client(number)))
        await asyncio.sleep(CLIENT_PAUSE_SECONDS)
    await asyncio.gather(*tasks)

    broken = 0
    for request in server.runs:
        attempt = request.header("X-Attempt-Id")
        same = request.body == sent[attempt]
        broken += not same
        record.add(
            f"server ran {attempt}: {request.first}, {len(request.body)} bytes of body"
            + ("" if same else f", but the client sent {len(sent[attempt])}")
        )
    record.add(f"{len(server.runs)} requests ran, {broken} of them with another body")
    return broken > 0


rig.main(case, __file__)
