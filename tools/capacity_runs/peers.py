"""Runs many endpoint daemons or entries in one process, as peers of a measured daemon.

Usage: python tools/capacity_runs/peers.py --kind endpoints --count 16 --list URL
For every line on standard input, prints a line of JSON with the bytes sent and received.
"""

import asyncio
import sys
import time

import orjson
import uvloop
from absl import app, flags

from persimmonstall.clock import Context
from persimmonstall.outside.instances import Instance
from persimmonstall.settings import Settings
from persimmonstall_daemon.adapters.instances import HttpInstances
from persimmonstall_daemon.adapters.tokeniser import ByteTokeniser
from persimmonstall_daemon.endpoint.daemon import EndpointDaemon
from persimmonstall_daemon.endpoint.engine_backend import EngineBackend
from persimmonstall_daemon.entry.daemon import EntryDaemon
from persimmonstall_daemon.entry.policy_placer import PolicyPlacer
from persimmonstall_daemon.network import GrpcNetwork, grpc_link
from persimmonstall_daemon.observe.metrics import Metrics
from persimmonstall_standins.engine import EngineModel
from persimmonstall_standins.engine_state import EngineSettings
from persimmonstall_standins.fleet import FixedFollower, Stores, small_catalogue
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.ports import LOOPBACK, free_ports
from persimmonstall_standins.table import MemoryTable

FLAGS = flags.FLAGS
flags.DEFINE_enum("kind", "endpoints", ("endpoints", "entries"), "Role of the peers.")
flags.DEFINE_integer("count", 4, "Number of peers.")
flags.DEFINE_string("list", "", "URL of the instance list (endpoints).")
flags.DEFINE_string("target", "", "IP:port of the measured daemon (entries).")
REGISTER_SECONDS = 2.0

LINKS = []


class CountedLink(grpc_link.GrpcLink):
    """A link that adds itself to `LINKS`, so that its byte counts can be summed."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        LINKS.append(self)


def make_settings(name, role, address):
    """Return the settings of one peer."""
    settings = Settings()
    settings.daemon.instance = name
    settings.daemon.role = role
    settings.daemon.address = address
    return settings


async def start_endpoint(number, port):
    """Start an endpoint daemon with an idle engine; return its `Instance`."""
    name = f"p{number}"
    settings = make_settings(name, "endpoint", f"{LOOPBACK}:{port}")
    context = Context()
    daemon = EndpointDaemon(
        settings,
        GrpcNetwork(settings.security),
        context,
        Metrics(settings),
        FixedFollower(small_catalogue("0")),
        Stores(MemoryTable(), MemoryObjects()),
    )
    engine = EngineModel(name, EngineSettings(models=("m",)))
    daemon.add_backend(EngineBackend(f"{name}-engine", engine, daemon))
    await daemon.start()
    return Instance(
        name, "endpoint", settings.daemon.address, "dc1", endpoints=(f"{name}-engine",)
    )


async def keep_registered(url, instances):
    """Register the peers in the instance list repeatedly, until cancelled."""
    client = HttpInstances(url, "instances")
    while True:
        for instance in instances:
            await client.register(instance, 5.0)
        await asyncio.sleep(REGISTER_SECONDS)


async def start_entry(number, port, target):
    """Start an entry that keeps a link to the measured endpoint daemon."""
    name = f"p{number}"
    settings = make_settings(name, "entry", f"{LOOPBACK}:{port}")
    context = Context()
    entry = EntryDaemon(
        settings,
        GrpcNetwork(settings.security),
        context,
        Metrics(settings),
        FixedFollower(small_catalogue("0")),
        PolicyPlacer(settings, context),
        ByteTokeniser(4.0),
        Stores(MemoryTable(), MemoryObjects()),
    )
    await entry.start()
    entry.membership.on_list((Instance("target", "endpoint", target, "dc1"),))
    return entry


async def serve():
    """Start the peers, then print a report for every line on standard input."""
    ports = free_ports(FLAGS.count)
    if FLAGS.kind == "endpoints":
        instances = [await start_endpoint(*pair) for pair in enumerate(ports)]
        background = asyncio.create_task(keep_registered(FLAGS.list, instances))
    else:
        background = [
            await start_entry(number, port, FLAGS.target) for number, port in enumerate(ports)
        ]
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        report = {
            "at": time.monotonic(),
            "links": sum(1 for link in LINKS if not link.closed.is_set()),
            "sent": sum(link.sent_bytes for link in LINKS),
            "received": sum(link.received_bytes for link in LINKS),
        }
        print(orjson.dumps(report).decode(), flush=True)
    del background  # Kept until here so that the peers are not garbage-collected.


def main(_arguments):
    """Run the peers."""
    import persimmonstall_daemon.network.grpc_network as network

    network.GrpcLink = CountedLink
    uvloop.install()
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
