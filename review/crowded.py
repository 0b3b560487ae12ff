"""A case in which a crowd of callers that misbehave comes to one machine, beside an ordinary one."""

import asyncio
import os
import pathlib
import time

import rig

MEMORY_MB = 222
"""Memory of the machine, on the sheet of nilerecord-cairo."""

CROWD_SECONDS = 20.0
CALM_SECONDS = 2.0
ORDINARY_PAUSE_SECONDS = 0.1
ORDINARY_PATIENCE_SECONDS = 1.505
SAMPLE_SECONDS = 0.02

CROWD = pathlib.Path(__file__).parent / "crowd.py"


def own_megabytes(pid):
    """Return the memory of a process in MB that no file backs, None once it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return None
    sizes = [int(line.split()[1]) for line in lines if line.startswith("RssAnon:")]
    return sizes[0] * 1024 / 1e6 if sizes else None


async def play(pattern, connections, record, scratch, entries):
    """Return whether the process has ended, hung, or exceeded the memory of its machine."""
    store = rig.Store()
    await store.start()
    server = rig.Server("i-2d", "registry-app", record)
    await server.start()
    routes = [rig.route("read", "registry-app", "idempotent")]
    store.write("op", "config", rig.config(1, routes, [{"name": "registry-app"}]))
    store.write("servers", server.name, server.row())
    entry = rig.Entry(scratch, store, **{"limits.memory_mb": MEMORY_MB})
    entries.append(entry)
    await entry.start()
    await asyncio.sleep(CALM_SECONDS)
    record.add(f"in calm the process has {own_megabytes(entry.process.pid):.0f} MB of its own")

    crowd = None
    if rig.trouble():
        record.add(f"a crowd comes: {connections} connections, pattern {pattern}")
        crowd = await asyncio.create_subprocess_exec(
            "python3", str(CROWD), pattern, str(connections), entry.front, str(CROWD_SECONDS),
            env=os.environ | {"PYTHONPATH": str(rig.ROOT / "review")},
        )
    most, outcomes = 0.0, {}

    async def sample():
        nonlocal most
        noted = 0.0
        while (size := own_megabytes(entry.process.pid)) is not None:
            most = max(most, size)
            if size > noted + 20:
                noted = size
                record.add(f"the process has {size:.0f} MB of its own")
            await asyncio.sleep(SAMPLE_SECONDS)

    sampling = asyncio.create_task(sample())
    try:
        end, count = time.monotonic() + CROWD_SECONDS, 0
        while time.monotonic() < end:
            count += 1
            try:
                async with asyncio.timeout(ORDINARY_PATIENCE_SECONDS):
                    answer = await rig.call(entry.front, f"ordinary-{count}", "/read/r", b"staff")
                status = "closed" if answer is None else answer.status
            except TimeoutError:
                status = "no answer in time"
            outcomes[status] = outcomes.get(status, 0) + 1
            await asyncio.sleep(ORDINARY_PAUSE_SECONDS)
    finally:
        if crowd is not None:
            try:
                async with asyncio.timeout(10):
                    await crowd.wait()
            except TimeoutError:
                crowd.kill()
                await crowd.wait()
    await asyncio.sleep(CALM_SECONDS)
    sampling.cancel()
    ended = entry.process.returncode
    record.add(f"an ordinary caller's {count} requests, one at a time: {outcomes}")
    record.add(f"the process had up to {most:.0f} MB of its own; its machine has {MEMORY_MB} MB")
    record.add(f"the process {'runs' if ended is None else f'ended with {ended}'}")
    return ended is not None or most > MEMORY_MB or not outcomes.get(200)
