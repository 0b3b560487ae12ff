"""In-memory links between daemons, with delays between data centres and injected faults."""

import asyncio
from collections import deque
from random import Random

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.link import Link, Network

LOCAL_DELAY = 0.0001
"""One-way delay within a data centre, in seconds."""

REMOTE_DELAY = 0.0005
"""Default one-way delay between data centres, in seconds."""


@attrs.define
class Fabric:
    """All links of a fleet, their delays and their faults.

    `delays` maps a pair of data centres to the one-way delay in seconds.  `cut_pairs` holds
    pairs of addresses (from, to) whose messages are dropped.  `drop_share` and
    `duplicate_share` are the shares of messages lost or delivered twice, to test the
    receiver; the order of messages is always kept.
    """

    delays: dict = attrs.field(factory=dict)
    remote_delay: float = REMOTE_DELAY
    drop_share: float = 0.0
    duplicate_share: float = 0.0
    random: Random = attrs.field(factory=lambda: Random(1))
    listeners: dict = attrs.field(factory=dict)
    data_centres: dict = attrs.field(factory=dict)
    links: set = attrs.field(factory=set)
    cut_pairs: set = attrs.field(factory=set)
    messages: int = 0

    def network(self, address, data_centre="dc1"):
        """Return the `MemoryNetwork` of the daemon at `address`."""
        self.data_centres[address] = data_centre
        return MemoryNetwork(self, address)

    def delay(self, source, target):
        """Return the one-way delay in seconds between two addresses."""
        here = self.data_centres.get(source)
        there = self.data_centres.get(target)
        if here == there:
            return LOCAL_DELAY
        found = self.delays.get((here, there)) or self.delays.get((there, here))
        return self.remote_delay if found is None else found

    def is_connected(self, source, target):
        """Whether messages from `source` reach `target`."""
        return (source, target) not in self.cut_pairs

    def cut(self, source, target, both=True):
        """Drop all messages from `source` to `target`, and back if `both`; links stay open."""
        self.cut_pairs.add((source, target))
        if both:
            self.cut_pairs.add((target, source))

    def heal(self, source, target):
        """Deliver messages between `source` and `target` again, in both directions."""
        self.cut_pairs -= {(source, target), (target, source)}

    def isolate(self, address):
        """Cut `address` in both directions from every known address."""
        for other in self.data_centres:
            if other != address:
                self.cut(address, other)

    def rejoin(self, address):
        """Connect `address` again, in both directions, to every known address."""
        for other in self.data_centres:
            self.heal(address, other)

    def silence(self, source, target):
        """Drop messages from `source` to `target` on the open links for good; new links work."""
        for link in self.links:
            if (link.address, link.peer) == (source, target):
                link.silent = True

    def kill(self, address):
        """Close a daemon's links and listener at once, as when its process dies."""
        self.listeners.pop(address, None)
        for link in [link for link in self.links if address in (link.address, link.peer)]:
            link.disconnect("connection reset")


class MemoryLink(Link):
    """One side of a link; `opposite` is the other side, `address` the daemon of this side."""

    def __init__(self, fabric, address, peer):
        self.fabric = fabric
        self.address = address
        self.peer = peer
        self.opposite = None
        self.silent = False
        self.closed = False
        self.in_flight = deque()
        self.inbox = asyncio.Queue()
        fabric.links.add(self)

    def send(self, message):
        """Send `message` to the other side; return False when the link is closed."""
        if self.closed:
            return False
        if not self.silent and self.fabric.is_connected(self.address, self.peer):
            self.transmit(message)
        return True

    def transmit(self, message):
        """Schedule the delivery of `message`, which may be dropped or duplicated."""
        fabric = self.fabric
        fabric.messages += 1
        if fabric.drop_share and fabric.random.random() < fabric.drop_share:
            return
        copies = 1
        if fabric.duplicate_share and fabric.random.random() < fabric.duplicate_share:
            copies = 2
        delay = fabric.delay(self.address, self.peer)
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            self.in_flight.append(message)
            loop.call_later(delay, self.deliver)

    def deliver(self):
        """Deliver the oldest message in flight to the other side."""
        message = self.in_flight.popleft()
        if not self.opposite.closed:
            self.opposite.inbox.put_nowait(message)

    async def receive(self):
        """Return the next message, or a `Failure` once the link is closed."""
        if self.closed and self.inbox.empty():
            return self.closed_failure("closed")
        message = await self.inbox.get()
        if isinstance(message, Failure):
            self.inbox.put_nowait(message)
        return message

    def closed_failure(self, detail):
        """Return the `Failure` of a closed link."""
        return Failure(Reason.PEER_LOST, "link", self.peer, detail)

    def disconnect(self, detail):
        """Close this side without notifying the other one."""
        if self.closed:
            return
        self.closed = True
        self.fabric.links.discard(self)
        self.inbox.put_nowait(self.closed_failure(detail))

    async def close(self):
        """Close the link; notify the other side after the delay unless messages are dropped."""
        if self.closed:
            return
        self.disconnect("closed")
        if self.silent or not self.fabric.is_connected(self.address, self.peer):
            return
        delay = self.fabric.delay(self.address, self.peer)
        asyncio.get_running_loop().call_later(delay, self.opposite.disconnect, "closed by peer")


class Listener:
    """A listening address of the fabric; `tasks` run the accepted links."""

    def __init__(self, fabric, address):
        self.fabric = fabric
        self.address = address
        self.tasks = set()

    async def close(self):
        """Stop accepting links; open links stay open."""
        self.fabric.listeners.pop(self.address, None)


class MemoryNetwork(Network):
    """The network as the daemon at `address` sees it."""

    def __init__(self, fabric, address):
        self.fabric = fabric
        self.address = address

    async def dial(self, address, timeout):
        """Open a link to the daemon at `address`; return the `Link` or a `Failure`."""
        fabric = self.fabric
        round_trip = fabric.delay(self.address, address) * 2
        connected = fabric.is_connected(self.address, address) and fabric.is_connected(
            address, self.address
        )
        if not connected or round_trip > timeout:
            await asyncio.sleep(timeout)
            return Failure(Reason.PEER_LOST, "dial", address, "timeout")
        await asyncio.sleep(round_trip)
        accepting = fabric.listeners.get(address)
        if accepting is None:
            return Failure(Reason.PEER_LOST, "dial", address, "refused")
        listener, accept = accepting
        here = MemoryLink(fabric, self.address, address)
        there = MemoryLink(fabric, address, self.address)
        here.opposite, there.opposite = there, here
        task = asyncio.get_running_loop().create_task(accept(there))
        listener.tasks.add(task)
        task.add_done_callback(listener.tasks.discard)
        return here

    async def listen(self, address, accept):
        """Accept links at `address`, calling ``await accept(link)`` for each."""
        listener = Listener(self.fabric, address)
        self.fabric.listeners[address] = (listener, accept)
        self.fabric.data_centres.setdefault(address, self.fabric.data_centres.get(self.address))
        return listener
