"""The store comes back from an old copy while a server is leaving that never said so in the list."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig

DRAIN_SECONDS = 2.0
"""drain_ms of the sheet."""

PING_SECONDS = 1.2
PINGS_MISSED = 3
"""Interval at which servers write to the store, and the intervals of silence after which the store
removes an entry."""

COPY_SECONDS = 1.0
"""Age of the copy when the store removes the entry of the server that leaves."""

DRILL_SECONDS = 2.5
AWAY_SECONDS = 0.15
"""Time from that moment to the drill, and for which the store is then away."""

SERVES_SECONDS = 9.0
"""Time for which the server goes on serving after it has left the list."""

CALL_PAUSE_SECONDS = 0.05


async def case(record, scratch, entries):
    store = rig.Store()
    await store.start()
    stays = rig.Server("i-57a1", "registry-app", record, work=0.005)
    leaves = rig.Server("i-1ea7", "registry-app", record, work=0.005)
    # It leaves without a word to the store, which so has its last ping from the start.
    for server in (stays, leaves):
        await server.start()
        store.write("servers", server.name, server.row())
    routes = [rig.route("read", "registry-app", "idempotent")]
    configuration = rig.config(1, routes, [{"name": "registry-app"}])
    store.write("op", "config", configuration)
    entry = rig.Entry(scratch, store)
    entries.append(entry)
    await entry.start()
    outcomes = {}

    async def client():
        count = 0
        while True:
            count += 1
            answer = await rig.call(entry.front, f"read-{count}", "/read/r", method="GET")
            status = "closed" if answer is None else answer.status
            outcomes[status] = outcomes.get(status, 0) + 1
            await asyncio.sleep(CALL_PAUSE_SECONDS)

    clients = asyncio.create_task(client())
    await asyncio.sleep(PINGS_MISSED * PING_SECONDS - COPY_SECONDS)
    copy, version = dict(store.rows), store.version
    record.add(f"the copy is made, at version {version}")
    await asyncio.sleep(COPY_SECONDS)
    # Requests that it still runs are answered before it leaves.
    clients.cancel()
    await asyncio.sleep(0.1)
    left_at = time.monotonic()
    store.remove("servers", leaves.name)
    leaves.extra = [("Server-Leaving", "1")]
    record.add(
        f"the store removes the entry of {leaves.name} after {PINGS_MISSED} missed pings: it leaves"
    )
    await asyncio.sleep(0.2)
    clients = asyncio.create_task(client())
    await asyncio.sleep(DRILL_SECONDS)
    if rig.trouble():
        store.fault = lambda path, query: 503
        record.add("the store is away")
        await asyncio.sleep(AWAY_SECONDS)
        store.rows, store.version, store.era = copy, version, store.era + 1
        store.changed.set()
        store.changed = asyncio.Event()
        store.fault = lambda path, query: None
        record.add(f"the store is back from the copy, era {store.era}; the operator writes again")
        store.write("op", "config", configuration)
        store.write("servers", stays.name, stays.row(sequence=2))
    await asyncio.sleep(PINGS_MISSED * PING_SECONDS)
    if rig.trouble():
        store.remove("servers", leaves.name)
        record.add(f"the store removes the entry of {leaves.name} after {PINGS_MISSED} missed pings")
    await asyncio.sleep(max(0.0, left_at + SERVES_SECONDS - time.monotonic()))
    clients.cancel()
    record.add(f"server {leaves.name} ends")
    record.add(f"answers to the client, by status: {outcomes}")
    late = [r for r in leaves.arrivals if r.at > left_at + DRAIN_SECONDS]
    for request in late:
        attempt = request.header("X-Attempt-Id")
        record.add(f"{attempt} reached {leaves.name} {request.at - left_at:.3f} s after its leaving")
    record.add(f"{len(late)} requests later than {DRAIN_SECONDS:g} s after the confirmation")
    return bool(late)


rig.main(case, __file__)
