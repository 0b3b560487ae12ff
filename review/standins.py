"""Stand-ins of the platform for the review's scripts: store, servers, clients, and entry processes.

Only the standard library is used.  All addresses are on the loopback interface.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "review.example"
PORTS = (12000, 30000)
"""Ports of the processes of the system; the system gives higher ones to outgoing connections."""

HEARTBEAT_S = 1.2
STABLE_S = 3.0
"""`stable_window_ms` of the small deployments, in seconds."""

ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 232000,
    "kv_token_bytes": 327680,
    "stride": 43,
    "models": [{"name": "m"}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00452,
    "context_per_k": 0.00431,
    "read_per_s": 206000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 12316, "answer": 1303},
    "hop_ms": 0.075,
}
"""The engine of the users' example of a configuration."""

VALUES = {
    "zone": "z-a",
    "region": "z",
    "limits.link_mbps": 350.0,
    "limits.memory_mb": 222,
    "limits.max_fds": 1570,
    "bounds.grace_s": 8,
    "bounds.budget_ratio": 0.2,
    "bounds.budget_slack": 204,
    "bounds.budget_window_s": 10,
    "bounds.config_ms": 2000,
    "bounds.free_ms": 4000,
}
"""Values of the settings template; the bounds are those of the small installations' sheets."""


def free_port():
    """Return a free port of the loopback interface, below those of outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


async def read_head(reader):
    """Return the first line of a message and its header pairs as bytes, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].split(b"\r\n")
    pairs = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        pairs.append((name.strip(), value.strip()))
    return lines[0], pairs


def header(pairs, name):
    """Return the first value of a header as bytes, empty if there is none."""
    wanted = name.lower().encode()
    return next((value for key, value in pairs if key.lower() == wanted), b"")


async def read_body(reader, pairs):
    """Return the body of a request: it has a length or chunks."""
    if header(pairs, "Transfer-Encoding").lower() == b"chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(header(pairs, "Content-Length") or 0))


def reset(writer):
    """Reset a connection."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def message(status, pairs=(), body=b""):
    """Return a complete answer with a length."""
    reasons = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}".encode()]
    lines += [f"{name}: {value}".encode() for name, value in pairs]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of a case."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, what, **fields):
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():8.3f} {what} {text}", file=self.file, flush=True)


class HttpServer:
    """A server on a loopback port; `handle(reader, writer)` serves one request, or returns False."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        """The address as IP:port."""
        return f"{LOOPBACK}:{self.port}"

    async def listen(self):
        """Listen, on the same port as before if there was one."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self.handle(head[0], head[1], body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store(HttpServer):
    """The platform's store: rows in memory, with one version counter."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 100
        self.changed = asyncio.Event()

    def put(self, table, key, value, deleted=False):
        """Write a row with an encoded value, or mark it as dropped."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row |= {"deleted": True} if deleted else {"value": value}
        self.rows[table, key] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, table, key, record):
        """Write a record as the operator and the servers do; return once it is confirmed."""
        text = json.dumps(record, ensure_ascii=False).encode()
        self.put(table, key, base64.b64encode(text).decode())

    def drop(self, table, key):
        """Drop a row."""
        if not self.rows.get((table, key), {"deleted": True}).get("deleted"):
            self.put(table, key, None, deleted=True)

    async def handle(self, line, _pairs, body, _reader, writer):
        """Answer one call."""
        _, target, _ = line.decode().split(" ")
        path, _, query = target.partition("?")
        asked = dict(part.split("=", 1) for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        status, fields = 200, {}
        if path == "/api/rows-get":
            fields = self.get(asked)
        elif path == "/api/rows-feed":
            fields = await self.feed(asked)
        elif path == "/api/rows-tx":
            status, fields = self.transact(json.loads(body))
        else:
            status = 404
        answer = {"ver": self.version, "now_ms": round(time.monotonic() * 1000)} | fields
        pairs = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(message(status, pairs, json.dumps(answer).encode()))
        await writer.drain()

    def get(self, asked):
        """Return a page of a table."""
        limit = int(asked.get("limit", 500))
        first = asked.get("from", "").replace("%00", "\x00")
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == asked["table"] and key >= first and not row.get("deleted")
        ]
        return {"rows": found[:limit], "has_more": len(found) > limit}

    async def feed(self, asked):
        """Return the changes of a table after a version, as soon as there is one."""
        until = time.monotonic() + int(asked["wait_ms"]) / 1000
        while True:
            changed = self.changed
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == asked["table"] and row["ver"] > int(asked["after"])
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {"rows": sorted(rows, key=lambda row: row["ver"])}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, body):
        """Apply a transaction."""
        entries = [*body["put"], *body["remove"]]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return 403, {}
        for entry in body.get("expected_revision", ()):
            row = self.rows.get((entry["table"], entry["key"]), {})
            if (0 if row.get("deleted") else row.get("ver", 0)) != entry["ver"]:
                return 412, {"rows": [row]}
        for entry in body["put"]:
            self.put(entry["table"], entry["key"], entry["value"])
        for entry in body["remove"]:
            self.drop(entry["table"], entry["key"])
        return 200, {}


class Server(HttpServer):
    """A server of a service: it runs requests, answers orders, and registers in the store.

    `crashing` are parts of prompts that crash it as it begins to write; after `back_s` seconds it
    is back with another id.  `on_run(server, request)` is called as a request begins to run.
    """

    def __init__(self, store, record, name, service, stream=True, crashing=(), back_s=3.0):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.stream = stream
        self.crashing = set(crashing)
        self.back_s = back_s
        self.lives = 0
        self.id = ""
        self.born = 0
        self.arrivals = []
        self.crashes = []
        self.background = set()
        self.work_s = 0.03
        self.events = 8
        self.up = False

    async def start(self):
        """Start a lifetime."""
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.born = time.time_ns() // 1_000_000
        await self.listen()
        self.up = True
        self.store.write("servers", self.id, self.entry())
        self.record.write("server_started", server=self.id, address=self.address)

    def entry(self, state="ready"):
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}] if self.stream else [],
            "sequence": 1,
            "born": self.born,
        }

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def crash(self):
        """End this lifetime without a word; another one begins some seconds later."""
        if not self.up:
            return
        self.up = False
        self.crashes.append(self.record.now())
        self.record.write("server_crashed", server=self.id)
        self.close()
        self.spawn(self.come_back(self.id))

    async def come_back(self, ended):
        """Start another lifetime; the entry of the last one lapses after three intervals."""
        await asyncio.sleep(self.back_s)
        await self.start()
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - self.back_s))
        self.store.drop("servers", ended)

    async def handle(self, line, pairs, body, reader, writer):
        """Answer a request, an order or a health check."""
        method, target, _ = line.decode("latin-1").split(" ")
        expected = header(pairs, "X-Expect-Instance").decode("latin-1")
        if expected and expected != self.id:
            writer.write(message(421, [("X-Instance-Id", self.id)]))
        elif target == "/health":
            writer.write(message(200, [("X-Instance-Id", self.id)]))
        elif target == "/api/order":
            writer.write(message(200, [], b'{"free": 100000}'))
        else:
            await self.run(method, target, pairs, body, reader, writer)
        await writer.drain()

    async def run(self, method, target, pairs, body, _reader, writer):
        """Run a request and answer it."""
        attempt = header(pairs, "X-Attempt-Id").decode("latin-1")
        parts = parts_of(header(pairs, "X-Prompt-Prefix").decode("latin-1"))
        self.arrivals.append((self.record.now(), attempt, parts, pairs))
        self.record.write(
            "run", server=self.id, request=attempt, target=target, parts=",".join(parts)
        )
        await asyncio.sleep(self.work_s)
        if self.crashing.intersection(parts[:-1]):
            self.crash()
            raise ConnectionResetError
        stamp = [("X-Attempt-Id", attempt), ("X-Response-Stamp", f"{self.id}.{attempt}")]
        if not self.stream:
            writer.write(message(200, stamp, f"answer to {attempt}".encode()))
            return
        lines = [b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream"]
        lines += [f"{name}: {value}".encode() for name, value in stamp]
        writer.write(b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]))
        first = int(header(pairs, "Last-Event-Id") or -1) + 1
        for number in range(first, self.events):
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")


def parts_of(prefix):
    """Return the ids of the parts of a prompt."""
    return [part.partition(":")[0].strip() for part in prefix.split(",") if part]


def route(name, kind, service, **fields):
    """Return the record of a route, with the figures of the users' sheets."""
    streaming = kind == "streaming"
    record = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 10000 if streaming else 1500,
        "target_latency_ms": 300 if streaming else 200,
        "priority": 1,
        "attempts": 1 if kind == "non_idempotent" else 2,
        "auth_exempt": False,
    }
    if streaming:
        record |= {"sticky": True, "stream_resume": True, "gap_aim_ms": 250}
    return record | fields


def configuration(version, routes, tenants):
    """Return a configuration with the services `llm` and `app`; `tenants` maps names to keys."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 728, "engine": ENGINE},
            {"name": "app", "health_path": "/health", "max_connections": 200},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": n, "api_keys": keys, "priority": 1} for n, keys in tenants.items()],
    }


class Entry:
    """A process of the deploy file's role `entry`, started as the platform does."""

    def __init__(self, folder, number, store, record, seeds=()):
        self.ports = {name: free_port() for name in ("front", "ready", "peers", "metrics")}
        self.path = folder / f"entry-{number}.ini"
        self.log = (folder / f"entry-{number}.log").open("ab")
        self.home = folder
        self.record = record
        self.name = f"edge-z-a-{number}"
        self.process = None
        values = VALUES | {
            "node": self.name,
            "ip": LOOPBACK,
            "internal_ports.0": self.ports["peers"],
            "listen.front": f"{LOOPBACK}:{self.ports['front']}",
            "listen.ready": f"{LOOPBACK}:{self.ports['ready']}",
            "platform.address": store.address,
            "seeds": ",".join(seeds),
        }
        template = (ROOT / "deploy" / "entry.ini").read_text()
        # A section is there if its value is; these installations have none of them.
        template = re.sub(r"\{\{#(.+?)\}\}.*?\{\{/\1\}\}", "", template, flags=re.DOTALL)
        text = re.sub(r"\{\{(.+?)\}\}", lambda found: str(values[found.group(1)]), template)
        # Entries on one machine can't share the port of their metrics.
        self.path.write_text(text.replace(":9464/", f":{self.ports['metrics']}/"))

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERSIMMONSTALL_CONFIG"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(
            *("python3", "-S", "-m", "persimmonstall_platform"),
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write("entry_started", entry=self.name)

    async def wait_ready(self, seconds=20.0):
        """Wait until the process reports itself ready; raise TimeoutError if it doesn't."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and head[0].split(b" ")[1] == b"200"

    async def stop(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    """What a client received; `complete` says that the end of the answer has arrived."""

    def __init__(self, status, pairs=(), body=b"", complete=False):
        self.status = status
        self.pairs = pairs
        self.body = body
        self.complete = complete

    @property
    def begun(self):
        """Whether a success has begun: its first bytes have arrived."""
        return self.status == 200 and bool(self.body)


async def read_answer(reader, pairs):
    """Return the body of an answer and whether it is complete."""
    body = b""
    try:
        if header(pairs, "Transfer-Encoding").lower() != b"chunked":
            length = int(header(pairs, "Content-Length") or 0)
            return await reader.readexactly(length), True
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += piece[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


class Deployment:
    """A store, servers and entries; a client's attempts go to the entries in turn."""

    def __init__(self, case):
        self.record = Record(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.servers = []
        self.entries = []
        self.sent = 0

    async def start(self, servers, entries, config):
        """Start everything, and wait until all entries are ready and know each other."""
        await self.store.listen()
        self.store.write("op", "config", config)
        self.servers = servers
        for server in servers:
            await server.start()
        for number in range(1, entries + 1):
            self.entries.append(Entry(self.folder, number, self.store, self.record))
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        await asyncio.sleep(2.0)

    async def stop(self):
        """End all processes, and remove the temporary folder unless KEEP is set."""
        for entry in self.entries:
            await entry.stop()
        for server in self.servers:
            for task in list(server.background):
                task.cancel()
            server.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, target, key, method="POST", entry=None, deadline_ms=10000, **headers):
        """Send one attempt on a new connection; return the `Answer`.  Headers have "_" for "-"."""
        self.sent += 1
        attempt = f"{self.sent:08x}"
        entry = entry or self.entries[self.sent % len(self.entries)]
        lines = [f"{method} {target} HTTP/1.1".encode(), f"Host: {HOST}".encode()]
        sent = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": deadline_ms,
            "Authorization": f"Token {key}",
        }
        body = f"prompt of {attempt}".encode() if method == "POST" else b""
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines += [f"{name}: {value}".encode() for name, value in sent.items()]
        lines.append(b"Content-Length: %d" % len(body))
        self.record.write(
            "sent", request=attempt, entry=entry.name, target=target,
            parts=",".join(parts_of(headers.get("X_Prompt_Prefix", ""))),
        )
        answer = await self.exchange(entry, b"\r\n".join(lines) + b"\r\n\r\n" + body, deadline_ms)
        self.record.write(
            "answered", request=attempt, status=answer.status, bytes=len(answer.body),
            complete=answer.complete,
        )
        answer.attempt = attempt
        return answer

    async def exchange(self, entry, request, deadline_ms):
        """Send a request and read its answer, up to a second after the client's time limit."""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, entry.ports["front"])
                try:
                    writer.write(request)
                    head = await read_head(reader)
                    if head is None:
                        return Answer(0)
                    status = int(head[0].split(b" ")[1])
                    return Answer(status, head[1], *await read_answer(reader, head[1]))
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return Answer(0)


def run(case, scenario):
    """Run `scenario(deployment, trouble)` of a case and return its exit code, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # A script that is ended early still ends its processes.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        deployment = Deployment(case)
        try:
            async with asyncio.timeout(110):
                broken = await scenario(deployment, trouble)
        finally:
            await deployment.stop()
        deployment.record.write("verdict", rule="broken" if broken else "held", trouble=trouble)
        return 1 if broken else 0

    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        return 2
