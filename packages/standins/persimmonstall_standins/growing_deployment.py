"""A deployment of real processes to which daemons are added one at a time."""

import socket

from .ports import LOOPBACK, free_ports
from .processes import Deployment, Layout, fetch

CONNECT_SECONDS = 1.0
HTTP_OK = 200


class GrowingDeployment(Deployment):
    """A deployment whose `add_...` methods start processes and wait until their ports are open.

    The first entry is named "entry1"; `speed` is the factor by which the engines run faster.
    """

    def __init__(self, directory, speed=1.0):
        super().__init__(directory, Layout(speed=speed))

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.stop()

    def add_platform(self):
        """Start the platform's services."""
        self.start_platform()
        for url in self.platform_urls.values():
            self.wait_for(url.removeprefix("http://"))

    def add_engine_daemon(self, name):
        """Start an engine and the endpoint daemon `name` that serves it."""
        [port] = free_ports(1)
        engine = f"{name}-engine"
        self.start_backend(engine, "engine", port)
        self.wait_for(f"{LOOPBACK}:{port}")
        self.served[name] = [f"{engine}=engine@{self.backends[engine]}"]
        self.start_endpoint_daemon(name)
        self.wait_for(self.daemon_addresses[name])

    def add_entry(self, name):
        """Start the entry `name`."""
        self.start_entry(name)
        self.wait_for(self.admin[name])

    def ready(self, name):
        """Whether the readiness check of an entry passes."""
        return fetch(self.http[name] + "/readyz")[0] == HTTP_OK

    def wait_for(self, address):
        """Wait until a process listens at `address`, "IP:port"."""
        host, _, port = address.rpartition(":")
        self.wait_until(lambda: is_open(host, int(port)), f"a listener at {address}")


def is_open(host, port):
    """Whether a TCP connection to `host` and `port` succeeds."""
    try:
        socket.create_connection((host, port), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True
