"""A request of one tenant crashes the servers that run it; another tenant sends the same path.

The request comes again each second, with the same path, caller and body.  Requests of the other
tenant with this path are sound, as their caller is another one, and are answered.  Meanwhile the
other tenant files records at the same service.
"""

import asyncio
import collections
import pathlib

from rig3 import (
    LOOPBACK,
    Record,
    Server,
    Site,
    read_body,
    read_head,
    request,
    reset,
    route,
    run_case,
    trouble,
)

FOLDER = pathlib.Path(__file__).parent
SERVERS = 6
SLOTS = 6
BACK_SECONDS = 3.0
"""Time after a crash until the server is back, as another lifetime at its address."""

SILENT_SECONDS = 3.6
"""Three ping intervals, after which the entry of a server that has crashed is removed."""

STABLE_SECONDS = 3.0
MAX_RETRIES = 3
RUN_SECONDS = 40.0
TIME_LIMIT_MS = 1505
KEYS = {"a": "key-of-a", "b": "key-of-b"}
PATH = "/read/2f"


class CrashingServer(Server):
    """A server that tenant `a`'s request crashes as it begins to run it."""

    def __init__(self, site, number, crashes, record):
        super().__init__("", "registry", None, record, SLOTS)
        self.site = site
        self.number = number
        self.crashes = crashes
        self.lifetime = 0
        self.connections = set()
        self.port = 0
        self.back = None
        self.rename()

    def rename(self):
        """Begin a lifetime."""
        self.lifetime += 1
        self.born += 1
        self.name = f"i-{self.number}-{self.lifetime}"

    async def serve(self, reader, writer):
        """Serve the request of a connection."""
        self.connections.add(writer)
        try:
            head = await read_head(reader)
            if head is None:
                return
            body = await read_body(reader, head)
            call = head["X-Attempt-Id"]
            if head["X-Expect-Instance"] not in ("", self.name):
                writer.write(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
                return
            self.runs.append((call, head.first, head.fields, body))
            if head["X-Tenant"] == "a":
                self.record(f"server {self.name} runs {call} of tenant a")
                if trouble():
                    self.crash(call)
                    return
            await asyncio.sleep(0.045)
            writer.write(self.whole(call, b"x" * 800))
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def crash(self, call):
        """End as a process does that crashes."""
        self.record(f"server {self.name} crashes of {call}, with {len(self.connections)} calls")
        self.crashes.append((self.record.seconds(), call))
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        self.back = asyncio.create_task(self.come_back(self.name))

    async def come_back(self, name):
        """Start again after some seconds; the old entry is removed after its silence."""
        await asyncio.sleep(BACK_SECONDS)
        self.rename()
        await self.start(int(self.address.rpartition(":")[2]))
        self.site.store.write("servers", self.name, self.row())
        await asyncio.sleep(SILENT_SECONDS - BACK_SECONDS)
        self.site.store.delete("servers", name)


class Callers:
    """Counts the answers by kind of request."""

    def __init__(self, entry, record):
        self.entry, self.record = entry, record
        self.answers = collections.Counter()
        self.sent = 0

    async def attempt(self, kind, tenant, target, method):
        """Send one attempt on a new connection; return its status."""
        self.sent += 1
        call = f"{kind}-{self.sent}"
        body = b"" if method == "GET" else b"{}"
        key = f"Token {KEYS[tenant]}"
        data = request(call, target, method, body, TIME_LIMIT_MS, Authorization=key)
        head = None
        try:
            async with asyncio.timeout(TIME_LIMIT_MS / 1000):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.entry.front)
                writer.write(data)
                head = await read_head(reader)
                if head is not None:
                    await read_body(reader, head)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        status = head.first.split()[1] if head else "none"
        self.answers[kind, status] += 1
        self.record(f"client sent {call} to {target}, got {status}")
        return status

    async def repeat(self, kind, tenant, target, method, pause):
        """Send requests one after the other."""
        while True:
            await self.attempt(kind, tenant, target, method)
            await asyncio.sleep(pause)


def retries_after_third(servers, crashes):
    """Return how many arrivals of the crashing request came in retries after its third crash."""
    if len(crashes) < 3:
        return 0
    third = crashes[2][0]
    return sum(at > third + STABLE_SECONDS for at, _call in crashes)


async def main():
    """Play the case; return whether the rule held."""
    record = Record(FOLDER)
    crashes = []
    async with Site(record) as site:
        routes = [
            route("read", "idempotent", "registry", timeout_ms=1500, attempts=2),
            route("file", "non_idempotent", "registry", timeout_ms=1500, attempts=1),
        ]
        tenants = [{"name": name, "api_keys": [key]} for name, key in KEYS.items()]
        services = [{"name": "registry", "health_path": "/health"}]
        site.configure(1, routes, services, tenants=tenants)
        servers = [
            await site.add(CrashingServer(site, number, crashes, record))
            for number in range(SERVERS)
        ]
        callers = Callers(await site.start_entry(), record)
        await asyncio.sleep(1.0)
        loops = [
            callers.repeat("lookup", "b", PATH, "GET", 0.1),
            callers.repeat("filing", "b", "/file/2f", "POST", 0.02),
            callers.repeat("filing", "b", "/file/2f", "POST", 0.02),
            callers.repeat("deadly", "a", PATH, "GET", 1.0),
        ]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await asyncio.sleep(RUN_SECONDS)
        failed = [task.exception() for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    if failed:
        raise failed[0]
    retries = retries_after_third(servers, crashes)
    record(f"answers: {dict(callers.answers)}")
    record(f"{len(crashes)} crashes; {retries} arrivals later than 3 s after the third crash")
    return retries <= MAX_RETRIES


run_case(main)
