"""Rig of the cases of review 3: store, servers and entry processes on loopback.

The store is the project's own stand-in.  Servers and callers are small and made of raw sockets, so
that the cases see every byte.  The entry is the program of the deploy file, with its command.
"""

import asyncio
import os
import pathlib
import re
import signal
import socket
import struct
import sys
import tempfile
import time

from persimmonstall_platform_standins.store import StandinStore

ROOT = pathlib.Path(__file__).resolve().parents[1]
TEMPLATE = ROOT / "deploy" / "entry.ini"
LOOPBACK = "127.0.0.1"
HOST = "h.example"
KEY = "secret"
TENANT = "org"
END_OF_HEAD = b"\r\n\r\n"
START_SECONDS = 20.0
BROKEN = 10
"""Exit code of a case whose rule was broken."""

ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232000,
    "stride": 5,
    "step_ms": 1.02,
    "per_seq_ms": 0.005,
    "context_per_k": 0.004,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.0014,
    "chunk": 2048,
}
BOUNDS = {
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_slack": 204,
    "budget_window_s": 10,
    "config_ms": 2000,
    "drain_ms": 2000,
    "free_ms": 4000,
}
"""The bounds of Nilerecord's and Tarabeesh's sheets that the settings template names."""


def trouble():
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main):
    """End the process with the code for `run-3.sh`; `main()` returns whether the rule held."""
    held = asyncio.run(main())
    sys.exit(0 if held else BROKEN)


def free_ports(count):
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((LOOPBACK, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(name, kind, service, **fields):
    """Return the record of a route with the prefix `/NAME/`."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 10_000,
        "target_latency_ms": 300,
        "gap_aim_ms": 250,
        "attempts": 2,
        **fields,
    }


class Record:
    """Writes to `record.txt` in the folder of a case what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        self.file.write(f"{self.seconds():8.3f} {text}\n")
        self.file.flush()

    def seconds(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at


class Site:
    """A store, servers and entry processes; `record` logs what happens."""

    def __init__(self, record):
        self.record = record
        self.store = StandinStore()
        self.folder = tempfile.TemporaryDirectory()
        self.servers = []
        self.entries = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_error):
        for entry in self.entries:
            await entry.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self.folder.cleanup()

    def configure(self, version, routes, services, **changes):
        """Write a configuration, as the operator does."""
        self.store.write(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": 4_194_304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15_000,
                },
                "tenants": [{"name": TENANT, "api_keys": [KEY]}],
                **changes,
            },
        )

    async def add(self, server):
        """Start a server and register it."""
        await server.start()
        self.servers.append(server)
        self.store.write("servers", server.name, server.row())
        return server

    async def start_entry(self, number=0, **options):
        """Start an entry process; return it once it is ready."""
        entry = Entry(self, number, **options)
        self.entries.append(entry)
        await entry.start()
        return entry


class Entry:
    """The program of the deploy file with its command, in a process of its own."""

    def __init__(self, site, number, memory_mb=222, descriptors=1570, seeds=(), bounds=()):
        self.site = site
        self.number = number
        self.path = pathlib.Path(site.folder.name) / f"entry-{number}.ini"
        peers, front, ready, metrics = free_ports(4)
        self.front, self.ready_port, self.peers = front, ready, peers
        values = {
            "node": f"edge-{number}",
            "ip": LOOPBACK,
            "internal_ports.0": peers,
            "zone": "z",
            "region": "r",
            "listen.front": f"{LOOPBACK}:{front}",
            "listen.ready": f"{LOOPBACK}:{ready}",
            "platform.address": site.store.address,
            "seeds": ",".join(seeds),
            "limits.link_mbps": 350.0,
            "limits.memory_mb": memory_mb,
            "limits.max_fds": descriptors,
            **{f"bounds.{name}": value for name, value in {**BOUNDS, **dict(bounds)}.items()},
        }
        section = re.compile(r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
        text = section.sub(
            lambda found: found.group(2) if found.group(1) in values else "", TEMPLATE.read_text()
        )
        text = re.sub(r"\{\{(.+?)\}\}", lambda found: str(values[found.group(1)]), text)
        self.path.write_text(text.replace(":9464/", f":{metrics}/"))
        self.log = self.path.with_suffix(".log").open("ab")
        self.process = None

    async def start(self):
        """Start the process and wait until it says that it is ready."""
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *("python3", "-S", "-m", "persimmonstall_platform"),
            cwd=ROOT,
            env=keep | {"PYTHONPATH": "target/deps", "PERSIMMONSTALL_CONFIG": str(self.path)},
            stdout=self.log,
            stderr=self.log,
        )
        async with asyncio.timeout(START_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.site.record(f"entry {self.number} is ready")

    async def is_ready(self):
        """Return whether the platform's question is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record(f"entry {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log.close()


class Head:
    """The first line and the header fields of a message."""

    def __init__(self, data):
        first, *lines = data.decode("latin-1").split("\r\n")
        self.first = first
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                self.fields[name.lower()] = value.strip()

    def __getitem__(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """Return the next `Head`, None at the end of the connection."""
    try:
        return Head((await reader.readuntil(END_OF_HEAD))[: -len(END_OF_HEAD)])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader, head):
    """Return the body of a message that has a length or chunks."""
    if "chunked" not in head["Transfer-Encoding"]:
        return await reader.readexactly(int(head["Content-Length"] or 0))
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += piece


class Server:
    """A sound server of the platform: `answer(server, head, body, writer)` answers a request.

    `runs` holds (id, first line, fields, body) of each request that began to run.
    """

    def __init__(self, name, service, answer, record, slots=8):
        self.name, self.service, self.answer, self.record = name, service, answer, record
        self.slots = slots
        self.runs = []
        self.orders = []
        self.server = None
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)

    async def start(self, port=0):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Listen no more."""
        self.server.close()

    def row(self):
        """Return the row of the server in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "slots": self.slots,
            "state": self.state,
            "born": self.born,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "version": "1",
        }

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if head["X-Expect-Instance"] not in ("", self.name):
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
                    continue
                call = head["X-Attempt-Id"]
                self.runs.append((call, head.first, head.fields, body))
                self.record(f"server {self.name} runs {call}: {head.first} {len(body)} B")
                await self.answer(self, head, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.record(f"server {self.name}: {error!r}")
        finally:
            writer.close()

    def stamps(self, call):
        """Return the header lines of an answer to the request `call`."""
        return f"X-Attempt-Id: {call}\r\nX-Response-Stamp: {self.name}.{call}\r\n"

    def whole(self, call, body, status="200 OK"):
        """Return a complete answer with a length."""
        head = f"HTTP/1.1 {status}\r\n{self.stamps(call)}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


def request(call, target, method="POST", body=b"body", deadline_ms=10_000, **fields):
    """Return the bytes of a request."""
    sent = {
        "Host": HOST,
        "X-Attempt-Id": call,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
    }
    sent.update({name.replace("_", "-"): value for name, value in fields.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def call_once(entry, data, record, call):
    """Send a request on a new connection; return (head, body), None each where it broke off."""
    reader, writer = await asyncio.open_connection(LOOPBACK, entry.front)
    record(f"client sends {call}")
    writer.write(data)
    head = body = None
    try:
        head = await read_head(reader)
        if head is not None:
            body = await read_body(reader, head)
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        record(f"client: {call} broke off: {error!r}")
    writer.close()
    size = None if body is None else len(body)
    record(f"client got {call}: {head.first if head else None} {size} B")
    return head, body


def reset(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
