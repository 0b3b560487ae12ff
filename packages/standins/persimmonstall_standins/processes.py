"""Starts, pauses and kills the stand-ins and daemons as real processes on loopback.

Used by the demo and by the tests that need processes; a daemon itself starts no processes.
"""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from http import HTTPStatus

import attrs
import grpc

from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as messages
from persimmonstall_daemon.admin.persimmonstall_admin_pb2_grpc import AdministrationStub

from .ports import LOOPBACK, accepts_connections, free_ports

MAX_LOG_CHARACTERS = 500
READY_SECONDS = 30.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.1
OPERATOR_KEY = "operator-key-of-a-local-trial"
MODEL = "m"
SERVICE = "records"


@attrs.define
class Layout:
    """Number of processes of each kind; the engines run faster by the factor `speed`.

    `daemons` are endpoint daemons, `engines` is the number for each of them, `extra` is
    appended to each settings file.
    """

    entries: int = 2
    daemons: int = 3
    engines: int = 2
    services: int = 1
    speed: float = 1.0
    memory: int = 400_000
    extra: str = ""


def fetch(url, data=None, headers=None, timeout=5.0):
    """Return the status and body of an HTTP response; (0, b"") when there is none."""
    request = urllib.request.Request(url, data, headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


class Deployment:
    """Stand-ins and daemons as processes by name, with their files in `directory`."""

    def __init__(self, directory, layout=None):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.layout = layout or Layout()
        self.processes = {}
        self.commands = {}
        self.http = {}
        self.admin = {}
        self.daemon_addresses = {}
        self.platform_urls = {}
        self.backends = {}
        self.served = {}
        self.caller_key = ""

    # Processes.

    def start(self, name, module, *arguments):
        """Start a Python module as the process `name`; its output goes to a log file."""
        self.commands[name] = (module, arguments)
        with open(self.directory / f"{name}.log", "ab") as log:
            command = [sys.executable, "-m", module, *arguments]
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def restart(self, name):
        """Start a process that has ended again with the same arguments."""
        module, arguments = self.commands[name]
        self.start(name, module, *arguments)

    def signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process and wait until it has exited."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait(STOP_SECONDS)

    def pause(self, name):
        """Suspend a process."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Ask a process for a graceful shutdown."""
        self.signal(name, signal.SIGTERM)

    def wait(self, name, seconds=STOP_SECONDS):
        """Wait for a process to exit and return its exit code; raises after `seconds`."""
        return self.processes[name].wait(seconds)

    def stop(self):
        """Kill every process that was started here."""
        running = [process for process in self.processes.values() if process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_SECONDS)

    # Set-up.

    def start_all(self):
        """Start the stand-ins, then the daemons."""
        self.start_platform()
        self.start_backends()
        for number in range(self.layout.daemons):
            self.start_endpoint_daemon(f"d{number + 1}")
        for number in range(self.layout.entries):
            self.start_entry(f"entry{number + 1}")

    def start_platform(self):
        """Start the platform's services."""
        names = ("table", "objects", "instances", "weights")
        ports = free_ports(len(names))
        flags = [f"--{name}-port={port}" for name, port in zip(names, ports, strict=True)]
        lag = ["--list-lag=0.5", "--list-expiry=8"]
        self.platform_urls = {
            name: f"http://{LOOPBACK}:{port}" for name, port in zip(names, ports, strict=True)
        }
        self.start("platform", "persimmonstall_standins.platform", *flags, *lag)

    def start_backends(self):
        """Start the engines and plain services and assign them to the daemons."""
        total = self.layout.daemons * self.layout.engines
        names = [(f"e{number + 1}", "engine") for number in range(total)]
        names += [(f"s{number + 1}", "service") for number in range(self.layout.services)]
        ports = free_ports(len(names))
        for number, ((name, kind), port) in enumerate(zip(names, ports, strict=True)):
            self.start_backend(name, kind, port)
            owner = f"d{number % self.layout.daemons + 1}"
            served_as = kind if kind == "engine" else f"{kind}:{SERVICE}"
            serves = f"{name}={served_as}@{self.backends[name]}"
            self.served.setdefault(owner, []).append(serves)

    def start_backend(self, name, kind, port):
        """Start one engine or plain service."""
        self.backends[name] = f"http://{LOOPBACK}:{port}"
        self.start(
            name,
            "persimmonstall_standins.backend",
            f"--kind={kind}",
            f"--port={port}",
            f"--name={name}",
            f"--speed={self.layout.speed}",
            f"--memory={self.layout.memory}",
            f"--models={MODEL}",
        )

    def settings(self, name, role, **options):
        """Write the settings file of a daemon and return its path."""
        daemon = {"role": role, "instance": name} | options
        lines = ["[daemon]", *(f"{key} = {value}" for key, value in daemon.items())]
        lines += ["[platform]", *(f"{key} = {url}" for key, url in self.platform_urls.items())]
        lines += ["poll = 0.5", "list_poll = 0.5"]
        if role == "endpoint":
            lines += ["[endpoints]", "serves = " + ", ".join(self.served[name])]
        keys = self.directory / "operators"
        keys.write_text(hashlib.sha256(OPERATOR_KEY.encode()).hexdigest() + "\n")
        lines += ["[security]", f"operator_keys = {keys}", self.layout.extra]
        path = self.directory / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start_endpoint_daemon(self, name, process=""):
        """Start the endpoint daemon `name`; `process` names its process, by default the same."""
        [port] = free_ports(1)
        self.daemon_addresses[name] = f"{LOOPBACK}:{port}"
        path = self.settings(name, "endpoint", address=self.daemon_addresses[name])
        self.start(process or name, "persimmonstall_daemon.main", f"--settings={path}")

    def start_entry(self, name):
        """Start the entry daemon `name`."""
        peer, http, admin = free_ports(3)
        self.http[name] = f"http://{LOOPBACK}:{http}"
        self.admin[name] = f"{LOOPBACK}:{admin}"
        self.daemon_addresses[name] = f"{LOOPBACK}:{peer}"
        path = self.settings(
            name,
            "entry",
            address=self.daemon_addresses[name],
            http=f"{LOOPBACK}:{http}",
            admin=self.admin[name],
        )
        self.start(name, "persimmonstall_daemon.main", f"--settings={path}")

    # Administration calls.

    def call(self, method, request, entry="entry1"):
        """Make an administration call to an entry and return the response."""
        with grpc.insecure_channel(self.admin[entry]) as channel:
            stub = AdministrationStub(channel)
            metadata = (("authorization", f"Bearer {OPERATOR_KEY}"),)
            return getattr(stub, method)(request, metadata=metadata, timeout=STOP_SECONDS)

    def configure(self, organisation="nilerecord"):
        """Create an organisation with a key, the model and the plain service."""
        self.wait_until(self.platform_answers, "the platform")
        self.wait_until(self.admin_answers, "the operators' port")
        created = self.call(
            "CreateOrganisation",
            messages.SetOrganisationRequest(
                organisation=messages.Organisation(name=organisation, priority=5),
                edit=messages.Edit(expected_version=0, call_id=f"create-{organisation}"),
            ),
        )
        key = self.call(
            "CreateKey",
            messages.KeyRequest(
                organisation=organisation,
                edit=messages.Edit(
                    expected_version=created.version, call_id=f"key-{organisation}"
                ),
            ),
        )
        self.caller_key = key.key
        self.call(
            "SetModel",
            messages.SetModelRequest(
                model=messages.Model(
                    name=MODEL, version="1", context_tokens=1_100_000, max_output_tokens=32_768
                ),
                edit=messages.Edit(expected_version=0, call_id="model"),
            ),
        )
        self.call(
            "SetService",
            messages.SetServiceRequest(
                service=messages.Service(name=SERVICE, non_idempotent=["appoint"]),
                edit=messages.Edit(expected_version=0, call_id="service"),
            ),
        )

    def platform_answers(self):
        """Whether all services of the platform accept connections."""
        return all(map(accepts_connections, self.platform_urls.values()))

    def admin_answers(self):
        """Whether the admin port of the first entry answers."""
        try:
            self.call("GetVersion", messages.GetVersionRequest())
        except grpc.RpcError:
            return False
        return True

    # Waiting.

    def last_lines(self, names):
        """Return the end of what some processes have written, by name."""
        texts = {name: (self.directory / f"{name}.log").read_text() for name in names}
        return {name: text[-MAX_LOG_CHARACTERS:] for name, text in texts.items()}

    def wait_until(self, condition, what, seconds=READY_SECONDS):
        """Wait until `condition()` is true; raises TimeoutError after `seconds`."""
        deadline = time.monotonic() + seconds
        while not condition():
            dead = [
                name for name, process in self.processes.items() if process.poll() not in (None, 0)
            ]
            if dead:
                raise RuntimeError(f"failed while waiting for {what}: {self.last_lines(dead)}")
            if time.monotonic() > deadline:
                raise TimeoutError(f"{what}: timed out after {seconds} s")
            time.sleep(POLL_SECONDS)

    def serving(self, entry):
        """Whether `entry` is ready and answers a short completion."""
        if fetch(self.http[entry] + "/readyz")[0] != 200:
            return False
        body = {"model": MODEL, "prompt": "hello", "max_tokens": 1}
        return self.post_completion(entry, body)[0] == 200

    def post_completion(self, entry, body, headers=None, timeout=30.0):
        """Return the status and decoded JSON body of `POST /v1/completions`."""
        return self.post(entry, "/v1/completions", body, headers, timeout)

    def post(self, entry, path, body, headers=None, timeout=30.0):
        """Send a POST as a caller; return its status and decoded JSON body."""
        headers = {"Authorization": f"Bearer {self.caller_key}"} | (headers or {})
        headers = {"Content-Type": "application/json"} | headers
        data = json.dumps(body).encode()
        status, answer = fetch(self.http[entry] + path, data, headers, timeout)
        return status, json.loads(answer) if answer else None

    # Back ends.

    def faults(self, name, **switches):
        """Set fault switches of a back end or platform service, or call its `action`."""
        url = self.backends.get(name) or self.platform_urls[name]
        status, answer = fetch(url + "/faults", json.dumps(switches).encode())
        if status != HTTPStatus.OK:
            raise RuntimeError(f"{name} refused {switches}: {answer!r}")

    def log(self, name):
        """Return the log of a back end, a list of JSON objects."""
        return json.loads(fetch(self.backends[name] + "/log")[1])

    def engine_memory(self, name):
        """Return the memory that the jobs of an engine hold, in tokens."""
        _, answer = fetch(self.backends[name] + "/jobs", b"[]")
        return sum(held["memory"] for held in json.loads(answer)["value"])

    def bring_up(self):
        """Start and configure everything and wait until every entry serves requests."""
        self.start_all()
        self.configure()
        for entry in self.http:
            self.wait_until(lambda entry=entry: self.serving(entry), f"{entry} serving")

    def describe(self):
        """Return the process ids, addresses and keys that `make down` needs, as a JSON object."""
        return {
            "pids": {name: process.pid for name, process in self.processes.items()},
            "http": self.http,
            "admin": self.admin,
            "caller_key": self.caller_key,
            "operator_key": OPERATOR_KEY,
        }


def kill_process(pid, marker):
    """Kill the process `pid` if its command line contains `marker`; return whether it did.

    The check avoids killing another process that has since been given the same id.
    """
    try:
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    if marker.encode() not in command:
        return False
    os.kill(pid, signal.SIGKILL)
    return True
