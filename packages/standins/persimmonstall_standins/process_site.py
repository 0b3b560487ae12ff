"""Stand-ins and daemons as real processes on loopback, for tests and measurements.

Every process that is started here is ended by its own id when the site is closed.
"""

import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
import uuid

import attrs
import grpc

from persimmonstall_daemon.admin import persimmonstall_admin_pb2 as schema
from persimmonstall_daemon.admin.operators import hash_key
from persimmonstall_daemon.admin.persimmonstall_admin_pb2_grpc import AdministrationStub

HOST = "127.0.0.1"
START_SECONDS = 30.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
CALL_SECONDS = 10.0
OPERATOR_KEY = "operator-key-of-the-site"


def free_ports(count):
    """Return `count` ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@attrs.define
class Daemon:
    """A running daemon: its process and where it listens."""

    name: str
    process: object
    settings: dict

    @property
    def url(self):
        """Base URL for callers (entry)."""
        return "http://" + self.settings["daemon"]["http"]


class ProcessSite:
    """Platform, back ends and daemons below `directory`; `changes` go into every settings file.

    `changes` maps sections to options.
    """

    def __init__(self, directory, changes=None):
        self.directory = pathlib.Path(directory)
        self.changes = changes or {}
        self.processes = []
        self.platform = {}
        self.daemons = {}
        self.key = ""
        self.model = "m"
        keys = self.directory / "operators.txt"
        keys.write_text(hash_key(OPERATOR_KEY) + "\n")
        self.operators = str(keys)

    def start(self, module, arguments, name):
        """Start a Python module as a process that logs to a file; return the process."""
        log = (self.directory / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        return process

    def start_platform(self, **flags):
        """Start the platform's services."""
        names = ("table", "objects", "instances", "weights")
        ports = dict(zip(names, free_ports(4), strict=True))
        self.platform = {name: f"http://{HOST}:{port}" for name, port in ports.items()}
        arguments = [f"--{name}_port={port}" for name, port in ports.items()]
        arguments += [f"--{name}={value}" for name, value in flags.items()]
        self.start("persimmonstall_standins.platform", arguments, "platform")
        wait_for_port(ports["weights"])

    def start_engine(self, name, **flags):
        """Start a model engine; return its URL."""
        port = free_ports(1)[0]
        flags = {"models": self.model} | flags
        arguments = [f"--port={port}", f"--name={name}", "--kind=engine"]
        arguments += [f"--{flag}={value}" for flag, value in flags.items()]
        self.start("persimmonstall_standins.backend", arguments, f"engine-{name}")
        wait_for_port(port)
        return f"http://{HOST}:{port}"

    def start_daemon(self, name, role, serves="", data_centre="dc1", **changes):
        """Start a daemon without waiting for it; return the `Daemon`."""
        link, http, admin = free_ports(3)
        settings = {
            "daemon": {
                "role": role,
                "instance": name,
                "address": f"{HOST}:{link}",
                "http": f"{HOST}:{http}",
                "admin": f"{HOST}:{admin}",
                "data_centre": data_centre,
            },
            "platform": dict(self.platform),
            "security": {"operator_keys": self.operators},
            "endpoints": {"serves": serves} if serves else {},
        }
        for section, options in [*self.changes.items(), *changes.items()]:
            settings.setdefault(section, {}).update(options)
        path = self.directory / f"{name}.ini"
        path.write_text(as_ini(settings))
        process = self.start("persimmonstall_daemon.main", [f"--settings={path}"], name)
        made = self.daemons[name] = Daemon(name, process, settings)
        return made

    def add_engine_daemon(self, name, **flags):
        """Start an engine and the daemon beside it; return the `Daemon`."""
        url = self.start_engine(f"{name}-engine", **flags)
        daemon = self.start_daemon(name, "endpoint", f"{name}-engine=engine@{url}")
        wait_for_port(port_of(daemon.settings["daemon"]["address"]))
        return daemon

    def add_entry(self, name):
        """Start an entry and wait until its ports are open; return the `Daemon`."""
        daemon = self.start_daemon(name, "entry")
        wait_for_port(port_of(daemon.settings["daemon"]["admin"]))
        return daemon

    def administration(self, entry):
        """Return the operators' stub of an entry and its call options."""
        channel = grpc.insecure_channel(entry.settings["daemon"]["admin"])
        options = {
            "metadata": (("authorization", f"Bearer {OPERATOR_KEY}"),),
            "timeout": CALL_SECONDS,
        }
        return AdministrationStub(channel), options

    def configure(self, entry, name="acme", **limits):
        """Create an organisation with a key, and the model; keep the caller's key."""
        stub, options = self.administration(entry)
        organisation = schema.Organisation(name=name, **limits)
        made = stub.CreateOrganisation(
            schema.SetOrganisationRequest(organisation=organisation, edit=edit()), **options
        )
        request = schema.KeyRequest(organisation=name, edit=edit(made.version))
        self.key = stub.CreateKey(request, **options).key
        model = schema.Model(
            name=self.model, version="1", context_tokens=1_100_000, max_output_tokens=32_768
        )
        stub.SetModel(schema.SetModelRequest(model=model, edit=edit()), **options)

    def close(self):
        """End every process of the site that still runs."""
        running = [one for one in self.processes if one.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_SECONDS)

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.close()


def edit(expected=0):
    """Return the edit of a change, with a call id of its own."""
    return schema.Edit(expected_version=expected, call_id=uuid.uuid4().hex)


def as_ini(settings):
    """Return sections of options as INI text."""
    lines = []
    for section, options in settings.items():
        lines.append(f"[{section}]")
        lines += [f"{name} = {value}" for name, value in options.items()]
    return "\n".join(lines) + "\n"


def port_of(address):
    """Return the port of "IP:port"."""
    return int(address.rpartition(":")[2])


def wait_until(condition, seconds=START_SECONDS, what="a condition"):
    """Wait until `condition()` is true; raises TimeoutError after `seconds`."""
    give_up = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > give_up:
            raise TimeoutError(f"{what} did not hold within {seconds} s")
        time.sleep(POLL_SECONDS)


def wait_for_port(port):
    """Wait until something listens on `port`."""
    wait_until(lambda: is_open(port), what=f"an open port {port}")


def is_open(port):
    """Whether something listens on `port`."""
    try:
        socket.create_connection((HOST, port), 1.0).close()
    except OSError:
        return False
    return True


def status_of(url):
    """Return the HTTP status of a GET, 0 when there is no answer."""
    try:
        with urllib.request.urlopen(url, timeout=CALL_SECONDS) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0
