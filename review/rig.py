"""Stand-ins for the scripts of the second review: store, servers, clients and entry processes.

They need the standard library alone.  Every address is a loopback address on a free port.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HOST = "h.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a script: the rule was broken, it held, the case could not run."""

STORE_ANSWER_SECONDS = 0.004
"""Time that the store takes for an answer, as on the sheets."""

START_SECONDS = 20.0
RUN_SECONDS = 110.0

BOUNDS = {
    "bounds.grace_s": 8,
    "bounds.budget_ratio": 0.2,
    "bounds.budget_slack": 204,
    "bounds.budget_window_s": 10,
    "bounds.config_ms": 2000,
    "bounds.drain_ms": 2000,
    "bounds.free_ms": 4000,
    "limits.link_mbps": 350.0,
    "limits.memory_mb": 222,
    "limits.max_fds": 1570,
}
"""The fields of the settings that a small deployment has, as on the sheet of nilerecord-cairo."""

ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232000,
    "stride": 5,
    "step_ms": 1.02,
    "per_seq_ms": 0.005,
    "context_per_k": 0.004,
    "read_per_s": 206000.0,
    "pairs_per_m": 0.14,
    "chunk": 2048,
}


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Return free ports; they are bound together, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((LOOPBACK, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """What was sent, answered and run, with the seconds since the start; written to a file."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.lines = []
        self.started = time.monotonic()

    def add(self, text):
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    def write(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Message:
    """A request or an answer; `names` are header names in lower case, `complete` says it is whole."""

    def __init__(self, first, headers, body=b"", complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete
        self.at = time.monotonic()

    def header(self, name, default=""):
        """Return the first value of a header."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)

    @property
    def method(self):
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self):
        """Target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Return a `Message` without its body, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1")[:-4].split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return Message(first, headers)


async def read_chunks(reader, on_data=None):
    """Return a chunked body and whether it is whole."""
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            data = (await reader.readexactly(size + 2))[:-2]
            body += data
            if on_data is not None:
                on_data(data)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
    return body, True


async def read_rest(message, reader, on_data=None):
    """Read the body of a message."""
    if "chunked" in message.header("Transfer-Encoding"):
        message.body, message.complete = await read_chunks(reader, on_data)
        return message
    missing = int(message.header("Content-Length", "0"))
    try:
        message.body = await reader.readexactly(missing)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.body, message.complete = getattr(error, "partial", b""), False
    return message


def encode(first, headers, body=b"", length=True):
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """A server on a free port; `serve(reader, writer)` handles each connection."""

    def __init__(self):
        self.server = None
        self.address = ""
        self.tasks = set()

    async def start(self, port=0):
        """Listen."""
        self.server = await asyncio.start_server(self.accept, LOOPBACK, port, backlog=1024)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer):
        """Handle a connection until it ends."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        """Handle one connection."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store: rows, transactions and feeds.

    `fault(path, query)` returns the status with which a call is turned away, "silent" for no
    answer, or None.  `delay(path, query)` returns the seconds that an answer takes.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.fault = lambda path, query: None
        self.delay = lambda path, query: STORE_ANSWER_SECONDS
        self.era = 1
        self.calls = []

    def write(self, table, key, value):
        """Write a row, as the operator and the servers do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.put(table, key, base64.b64encode(raw).decode())

    def put(self, table, key, value, deleted=False):
        """Write an encoded row, or a tombstone."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row |= {"deleted": True} if deleted else {"value": value}
        self.rows[table, key] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        """Remove a row."""
        self.put(table, key, "", deleted=True)

    async def serve(self, reader, writer):
        """Answer calls."""
        while (request := await read_head(reader)) is not None:
            await read_rest(request, reader)
            path, _, text = request.target.partition("?")
            query = dict(urllib.parse.parse_qsl(text))
            self.calls.append((time.monotonic(), path, query.get("table", "")))
            status = self.fault(path, query)
            if status == "silent":
                await asyncio.sleep(60)
            if status is None:
                status, body = await self.answer(path, query, request)
                late = self.fault(path, query)
                status = status if late is None else late
            else:
                body = {}
            await asyncio.sleep(self.delay(path, query))
            body |= {"ver": self.version, "now_ms": round(time.monotonic() * 1000)}
            raw = json.dumps(body).encode() if status in (200, 410, 412) else b""
            headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
            writer.write(encode(f"HTTP/1.1 {status} S", headers, raw))
            await writer.drain()

    async def answer(self, path, query, request):
        """Return status and body of an answer."""
        if path == "/api/rows-get":
            found = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"]
                and not row.get("deleted")
                and key >= query.get("from", "")
            ]
            limit = int(query.get("limit", 500))
            return 200, {"rows": found[:limit], "has_more": len(found) > limit}
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path == "/api/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    async def feed(self, query):
        """Return the rows changed after a version, once there are any."""
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.version:
                return 410, {}
            rows = [r for (t, _), r in self.rows.items() if t == table and r["ver"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": sorted(rows, key=lambda row: row["ver"])}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def transact(self, body):
        """Apply a transaction."""
        for row in body["expected_revision"]:
            known = self.rows.get((row["table"], row["key"]), {"deleted": True})
            if (0 if known.get("deleted") else known["ver"]) != row["ver"]:
                return 412, {}
        for row in body["put"]:
            self.put(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        return 200, {}


class Server(Listener):
    """A server of a service; `runs` are the requests that it has run, `arrivals` all of them.

    `respond(request, writer)` answers a request that runs; by default with a short body after
    `work` seconds.
    """

    def __init__(self, name, service, record, work=0.02):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.work = work
        self.born = round(time.time() * 1000)
        self.arrivals = []
        self.runs = []
        self.extra = []

    def row(self, state="ready", **fields):
        """Return the server's record in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "cairo-a",
            "version": 1,
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        } | fields

    async def serve(self, reader, writer):
        """Answer requests, one at a time on a connection."""
        while (request := await read_head(reader)) is not None:
            await read_rest(request, reader)
            if not request.complete:
                return
            expected = request.header("X-Expect-Instance", self.name)
            if expected != self.name:
                writer.write(encode("HTTP/1.1 421 M", [("X-Instance-Id", self.name)]))
                continue
            if request.target.startswith("/api/"):
                writer.write(encode("HTTP/1.1 400 B", []))
                continue
            self.arrivals.append(request)
            if not await self.accept_request(request, writer):
                continue
            self.runs.append(request)
            await self.respond(request, writer)
            await writer.drain()

    async def accept_request(self, request, writer):
        """Return whether a request runs; one that does not is answered here."""
        return True

    def headers(self, request):
        """Return the headers of an answer."""
        call = request.header("X-Attempt-Id")
        return [("X-Attempt-Id", call), ("X-Response-Stamp", f"{self.name}.{call}"), *self.extra]

    async def respond(self, request, writer):
        """Answer a request."""
        await asyncio.sleep(self.work)
        writer.write(encode("HTTP/1.1 200 OK", self.headers(request), b"done " + self.name.encode()))


def config(version, routes, services, **fields):
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | fields


def route(name, service, kind, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "attempts": 2,
        "priority": 1,
    } | fields


class Entry:
    """A process of the program in the deploy file, with the settings of the template."""

    def __init__(self, folder, store, seeds=(), **values):
        peers, front, ready, metrics = free_ports(4)
        self.folder = pathlib.Path(folder)
        self.name = f"edge-{peers}"
        self.front = f"{LOOPBACK}:{front}"
        self.ready_address = f"{LOOPBACK}:{ready}"
        self.peers = f"{LOOPBACK}:{peers}"
        fields = BOUNDS | {
            "node": self.name,
            "ip": LOOPBACK,
            "internal_ports.0": peers,
            "zone": "cairo-a",
            "region": "cairo",
            "listen.front": self.front,
            "listen.ready": self.ready_address,
            "platform.address": store.address,
            "seeds": ",".join(seeds),
        }
        fields |= values
        text = (ROOT / "deploy" / "entry.ini").read_text()
        section = re.compile(r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
        text = section.sub(lambda m: m.group(2) if m.group(1) in fields else "", text)
        text = re.sub(r"\{\{(.+?)\}\}", lambda m: str(fields[m.group(1)]), text)
        self.settings = self.folder / f"{self.name}.ini"
        self.settings.write_text(text.replace(":9464/", f":{metrics}/"))
        self.log = self.folder / f"{self.name}.log"
        self.process = None

    async def launch(self):
        """Start the process."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONSTALL_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", "persimmonstall_platform",
                cwd=ROOT, env=environment, stdout=output, stderr=output,
            )

    async def ready(self):
        """Return whether the process says that it is ready."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode("GET /api/readiness HTTP/1.1", [("Host", host)]))
            answer = await read_head(reader)
            writer.close()
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, pause=0.02):
        """Wait until the process says that it is ready."""
        async with asyncio.timeout(START_SECONDS):
            while not await self.ready():
                await asyncio.sleep(pause)

    async def start(self):
        """Start the process and wait until it is ready."""
        await self.launch()
        await self.wait_ready()

    async def stop(self):
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class Connection:
    """A client's connection to an entry."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        """Open the connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    def send(self, attempt, target, body=b"", method="POST", deadline_ms=1500, **headers):
        """Send a request."""
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        self.writer.write(encode(f"{method} {target} HTTP/1.1", list(fields.items()), body))

    async def receive(self, on_data=None):
        """Return the next answer, None if the connection ended before it."""
        answer = await read_head(self.reader)
        return answer if answer is None else await read_rest(answer, self.reader, on_data)

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call(address, attempt, target, body=b"", **options):
    """Send one request on a connection of its own; return its answer, or None."""
    connection = Connection(address)
    try:
        await connection.open()
        connection.send(attempt, target, body, **options)
        return await connection.receive()
    except OSError:
        return None
    finally:
        connection.close()


async def supervise(case, folder):
    """Run a case; return the exit code."""
    record = Record(folder)
    entries = []
    try:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                async with asyncio.timeout(RUN_SECONDS):
                    broken = await case(record, scratch, entries)
            finally:
                for entry in entries:
                    await entry.stop()
                if os.environ.get("KEEP_LOGS"):
                    for entry in entries:
                        target = pathlib.Path(os.environ["KEEP_LOGS"]) / entry.log.name
                        target.write_bytes(entry.log.read_bytes())
        record.add(f"trouble {'played' if trouble() else 'left out'}")
        record.add("RULE BROKEN" if broken else "rule held")
        return BROKEN if broken else HELD
    except Exception as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        record.write()


def main(case, path):
    """Run a case of the folder of `path` and exit."""
    code = asyncio.run(supervise(case, pathlib.Path(path).resolve().parent))
    print({BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "could not run"}[code])
    sys.exit(code)
