"""Entries of direct mode without sockets, which exchange datagrams over a modelled network."""

import asyncio
import math
import random
from types import SimpleNamespace

import attrs

from persimmonstall.clock import Context
from persimmonstall.direct.crash_record import RecordKind
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State
from persimmonstall.failures import Failure, Reason
from persimmonstall.settings.schema import Settings
from persimmonstall_daemon.direct.chooser import EndpointChooser
from persimmonstall_daemon.direct.cold import ColdReporter
from persimmonstall_daemon.direct.crash_records import CrashRecords
from persimmonstall_daemon.direct.crash_reports import CrashReporter
from persimmonstall_daemon.direct.directory_readers import DirectoryReaders
from persimmonstall_daemon.direct.entry_memory import EntryMemory
from persimmonstall_daemon.direct.evacuations import EvacuationReporter
from persimmonstall_daemon.direct.limits import LimitReporter
from persimmonstall_daemon.direct.loads import LoadReporter
from persimmonstall_daemon.direct.notices import NoticeReporter
from persimmonstall_daemon.direct.ownership import Ownership
from persimmonstall_daemon.direct.peers import Peers
from persimmonstall_daemon.direct.permits import PermitExchange
from persimmonstall_daemon.direct.trials import TrialExchange
from persimmonstall_daemon.observe.prometheus import PrometheusMetrics

LINK_MBPS = 7.0
MIN_DELAY_SECONDS = 0.0005
MAX_DELAY_SECONDS = 0.004


def make_entry(clock, address="10.0.0.1:7340", seed=1):
    """Return an entry's state and gossip; `clock` returns the time in seconds.

    `told_at` is for tests: when the entry first passed on an answer that names a limit.
    """
    settings = Settings()
    settings.daemon.address = address
    settings.direct.link_mbps = LINK_MBPS
    entry = SimpleNamespace(
        settings=settings,
        clock=Context(now=clock, random=random.Random(seed)),
        now=clock,
        state=State(SharedRetryBudget(0.2, 200.0, 10.0)),
        metrics=PrometheusMetrics(),
        leaving=False,
        told_at=math.inf,
    )
    entry.memory = EntryMemory(entry)
    entry.peers = Peers(entry)
    entry.ownership = Ownership(entry, entry.peers)
    entry.readers = DirectoryReaders(entry, entry.peers, entry.ownership)
    entry.permits = PermitExchange(entry, entry.peers)
    entry.trials = TrialExchange(entry, entry.peers)
    entry.loads = LoadReporter(entry, entry.peers.schedule_beacon)
    entry.limits = LimitReporter(entry, entry.peers.schedule_beacon)
    entry.notices = NoticeReporter(entry, entry.peers.schedule_beacon)
    entry.evacuations = EvacuationReporter(entry)
    entry.cold = ColdReporter(entry)
    entry.chooser = EndpointChooser(entry)
    entry.crash_reporter = CrashReporter(entry)
    entry.crash_records = CrashRecords(entry)
    return entry


class MemoryDirectory:
    """The directory's crash records, which outlive the entries.

    `records` maps each kind to its records by key, each with the time of its last crash.  No call
    succeeds while it is `away`; `writes` counts the calls that write.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = {kind: {} for kind in RecordKind}
        self.away = False
        self.reads = 0
        self.writes = 0

    async def register(self, _address):
        """Return no other entries."""
        return ()

    async def remove_entries(self, _rows):
        """Remove nothing."""
        return True

    async def read_crash_records(self, kind):
        """Return the records of a kind."""
        self.reads += 1
        if self.away:
            return Failure(Reason.STORE_DOWN, "store")
        return tuple(
            attrs.evolve(record, age=self.clock() - at)
            for record, at in self.records[kind].values()
        )

    async def write_crash_records(self, kind, records, removed):
        """Store records of a kind and remove others."""
        self.writes += 1
        if self.away:
            return Failure(Reason.STORE_DOWN, "store")
        for record in records:
            self.records[kind][record.key] = record, self.clock() - record.age
        for key in removed:
            self.records[kind].pop(key, None)
        return True


class NetworkPort:
    """An entry's transport on a `Network`; `open` is false while the entry is stopped."""

    def __init__(self, network, peers):
        self.network = network
        self.peers = peers
        self.open = True

    def sendto(self, data, address):
        """Send a datagram."""
        if self.open:
            self.network.carry(data, f"{address[0]}:{address[1]}")

    def is_closing(self):
        """Return whether the entry is stopped."""
        return not self.open


class Network:
    """Carries datagrams between entries with random delays; loses a share `loss` of them."""

    def __init__(self, numbers, loss=0.0):
        self.numbers = numbers
        self.loss = loss
        self.ports = {}

    def attach(self, entry):
        """Connect an entry, in place of the one that had its address."""
        address = entry.settings.daemon.address
        entry.peers.transport = self.ports[address] = NetworkPort(self, entry.peers)

    def carry(self, data, address):
        """Deliver a datagram after a random delay, or lose it."""
        if self.numbers.random() >= self.loss:
            delay = self.numbers.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            asyncio.get_running_loop().call_later(delay, self.deliver, data, address)

    def deliver(self, data, address):
        """Pass a datagram to the entry at an address."""
        port = self.ports.get(address)
        if port is not None and port.open:
            port.peers.inbox.receive(data)


class GossipFleet:
    """Entries on a network; with `gossips`, their beacons run, else each knows all others."""

    def __init__(self, count, numbers, loss=0.0, gossips=True):
        self.numbers = numbers
        self.network = Network(numbers, loss)
        self.gossips = gossips
        self.clock = asyncio.get_running_loop().time
        self.directory = MemoryDirectory(self.clock)
        self.addresses = [f"10.0.{n // 200}.{n % 200 + 1}:7340" for n in range(count)]
        self.entries = {}
        self.tasks = {}
        for address in self.addresses:
            self.start(address)

    def start(self, address):
        """Start the entry at an address."""
        entry = make_entry(self.clock, address, self.numbers.getrandbits(32))
        self.entries[address] = entry
        self.network.attach(entry)
        for other in self.addresses:
            entry.peers.add_peer(other)
        if self.gossips:
            entry.directory = self.directory
            running = asyncio.gather(entry.peers.run(), entry.crash_records.run())
            self.tasks[address] = running
            return
        entry.peers.schedule_beacon = entry.limits.on_change = lambda urgent: None
        for other in self.addresses:
            if other != address:
                entry.peers.meet(other).last_heard = math.inf

    def kill(self, address):
        """Stop an entry at once."""
        self.network.ports[address].open = False
        del self.entries[address]
        self.tasks.pop(address).cancel()

    def random_entry(self):
        """Return one of the running entries."""
        return self.numbers.choice(list(self.entries.values()))

    def stop(self):
        """Stop all tasks."""
        for task in self.tasks.values():
            task.cancel()
