"""Links between entries, opened on demand and closed when idle.

They have no heartbeat.  A link on which a message stays unanswered is dropped and the next message
dials a new one, since a connection can go silent for good while new connections work.
"""

import asyncio

from persimmonstall.messages import control

IDLE_SECONDS = 60.0
"""Time without messages in either direction after which a link is closed."""

MAX_QUEUED_MESSAGES = 1000
"""Largest number of messages queued while a link is being opened; further ones are dropped."""


class PeerLink:
    """A link to another entry, dialled and read by a task of its own."""

    def __init__(self, instance, peers):
        self.instance = instance
        self.peers = peers
        self.name = instance.name
        self.link = None
        self.queued = []
        self.unanswered_since = None
        self.used_at = peers.entry.context.now()
        self.task = asyncio.create_task(self.run())

    def send(self, message):
        """Send a message, or queue it until the link is open; False if it is dropped."""
        now = self.peers.entry.context.now()
        self.used_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        if self.link is not None:
            return self.link.send(message)
        if len(self.queued) >= MAX_QUEUED_MESSAGES:
            return False
        self.queued.append(message)
        return True

    def is_silent(self, now):
        """Return whether the peer has left a message unanswered for too long."""
        limit = self.peers.entry.settings.links.silence
        return self.unanswered_since is not None and now - self.unanswered_since > limit

    async def run(self):
        """Dial the peer and handle its messages until the link is lost."""
        entry = self.peers.entry
        try:
            timeout = entry.settings.links.dial_timeout
            link = await entry.network.dial(self.instance.address, timeout)
            if not link:
                return
            self.open(link)
            await self.peers.read(link, self)
        finally:
            self.peers.remove_link(self)
            if self.link is not None:
                await self.link.close()

    def open(self, link):
        """Send the hello of this entry and the queued messages."""
        self.link = link
        link.send(self.peers.entry.hello())
        for message in self.queued:
            link.send(message)
        self.queued = []


class IncomingLink:
    """A link opened by another entry."""

    def __init__(self, link):
        self.link = link
        self.name = ""
        self.unanswered_since = None
        self.used_at = 0.0

    def send(self, message):
        """Send a message over the link."""
        return self.link.send(message)


class EntryPeers:
    """The links of this entry to other entries; `entry` is the entry daemon."""

    def __init__(self, entry):
        self.entry = entry
        self.links = {}
        self.listener = None

    async def start(self):
        """Listen for links of other entries."""
        address = self.entry.settings.daemon.address
        self.listener = await self.entry.network.listen(address, self.accept)

    async def accept(self, link):
        """Serve a link opened by another entry."""
        link.send(self.entry.hello())
        await self.read(link, IncomingLink(link))

    async def read(self, link, peer):
        """Handle the messages of a link until it is lost.

        `peer` is the `PeerLink` or `IncomingLink` to which the link belongs.
        """
        while True:
            message = await link.receive()
            if not message:
                return
            peer.unanswered_since = None
            peer.used_at = self.entry.context.now()
            self.handle(message, peer)

    def handle(self, message, peer):
        """Handle one message of another entry."""
        if isinstance(message, control.Hello):
            peer.name = message.instance
            self.entry.membership.on_hello(message)
            self.entry.note_peer_version(message.config_version, peer)
        elif isinstance(message, control.BudgetRequest):
            self.lend(message, peer)
        elif isinstance(message, control.BudgetLease):
            self.entry.budgets.on_lease(message)
        else:
            self.entry.dispatch_control(message, peer)

    def lend(self, budget_request, peer):
        """Answer a `BudgetRequest`, unless its organisation is not known to this entry yet."""
        organisation = self.entry.catalogue.get("organisation", budget_request.organisation)
        if organisation is not None and peer.name:
            peer.send(self.entry.budgets.lend(budget_request, peer.name, organisation))

    def send(self, name, message):
        """Send a message to the entry `name`; False if that is unknown or the message dropped."""
        link = self.links.get(name)
        if link is None:
            instance = self.find(name)
            if instance is None:
                return False
            link = self.links[name] = PeerLink(instance, self)
        return link.send(message)

    def find(self, name):
        """Return the `Instance` of the entry `name`, or None."""
        entries = self.entry.membership.view.members("entry")
        return next((instance for instance in entries if instance.name == name), None)

    def remove_link(self, link):
        """Remove a lost link, unless a new one has taken its place."""
        if self.links.get(link.name) is link:
            del self.links[link.name]

    def tick(self):
        """Close idle and silent links."""
        now = self.entry.context.now()
        for link in list(self.links.values()):
            if link.is_silent(now) or now - link.used_at > IDLE_SECONDS:
                link.task.cancel()
                self.remove_link(link)

    async def close(self):
        """Close all links and the listener."""
        tasks = [link.task for link in self.links.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.listener:
            await self.listener.close()
