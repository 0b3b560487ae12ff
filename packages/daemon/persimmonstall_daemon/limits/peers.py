"""Links between entries, opened when there is something to say and closed when idle.

They carry no heartbeat: a message that stays unanswered makes the next one dial anew, since a
connection can go silent for good while new ones work.
"""

import asyncio

from persimmonstall.messages import control

IDLE_SECONDS = 60.0
"""Silence in both directions after which a link between entries is closed."""

QUEUED_MESSAGES = 1000
"""Messages kept while a link is being opened; later ones are dropped."""


class PeerLink:
    """A link to one other entry; a task dials it and reads it."""

    def __init__(self, instance, peers):
        self.instance = instance
        self.peers = peers
        self.name = instance.name
        self.link = None
        self.queued = []
        self.asked_at = None
        self.used = peers.entry.context.now()
        self.task = asyncio.create_task(self.run())

    def send(self, message):
        """Send a message, or keep it until the link is open; False when it is dropped."""
        now = self.peers.entry.context.now()
        self.used = now
        if self.asked_at is None:
            self.asked_at = now
        if self.link is not None:
            return self.link.send(message)
        if len(self.queued) >= QUEUED_MESSAGES:
            return False
        self.queued.append(message)
        return True

    def silent(self, now):
        """Whether the peer has left a message unanswered for too long."""
        patience = self.peers.entry.settings.links.silence
        return self.asked_at is not None and now - self.asked_at > patience

    async def run(self):
        """Dial and read until the link is lost."""
        entry = self.peers.entry
        try:
            timeout = entry.settings.links.dial_timeout
            link = await entry.network.dial(self.instance.address, timeout)
            if not link:
                return
            self.open(link)
            await self.peers.read(link, self)
        finally:
            self.peers.drop(self)
            if self.link is not None:
                await self.link.close()

    def open(self, link):
        """Introduce this entry and send what was kept."""
        self.link = link
        link.send(self.peers.entry.hello())
        for message in self.queued:
            link.send(message)
        self.queued = []


class Incoming:
    """A link that another entry opened."""

    def __init__(self, link):
        self.link = link
        self.name = ""
        self.asked_at = None
        self.used = 0.0

    def send(self, message):
        """Send a message over the link."""
        return self.link.send(message)


class EntryPeers:
    """The links of this entry to others; `entry` is the entry daemon."""

    def __init__(self, entry):
        self.entry = entry
        self.links = {}
        self.listener = None

    async def start(self):
        """Accept links of other entries."""
        address = self.entry.settings.daemon.address
        self.listener = await self.entry.network.listen(address, self.accept)

    async def accept(self, link):
        """Serve a link that another entry opened."""
        link.send(self.entry.hello())
        await self.read(link, Incoming(link))

    async def read(self, link, side):
        """Handle the messages of a link until it is lost."""
        while True:
            message = await link.receive()
            if not message:
                return
            side.asked_at = None
            side.used = self.entry.context.now()
            self.handle(message, side)

    def handle(self, message, side):
        """Handle one message of another entry."""
        if isinstance(message, control.Hello):
            side.name = message.instance
            self.entry.membership.on_hello(message)
            self.entry.note_peer_version(message.config_version, side)
        elif isinstance(message, control.BudgetRequest):
            self.lend(message, side)
        elif isinstance(message, control.BudgetLease):
            self.entry.budgets.on_lease(message)
        else:
            self.entry.dispatch_control(message, side)

    def lend(self, ask, side):
        """Answer an ask; one for an organisation not known here yet stays unanswered."""
        organisation = self.entry.catalogue.get("organisation", ask.organisation)
        if organisation is not None and side.name:
            side.send(self.entry.budgets.lend(ask, side.name, organisation))

    def send(self, name, message):
        """Send a message to the entry `name`; False when it is not known."""
        link = self.links.get(name)
        if link is None:
            instance = self.find(name)
            if instance is None:
                return False
            link = self.links[name] = PeerLink(instance, self)
        return link.send(message)

    def find(self, name):
        """Return the `Instance` of an entry, or None."""
        found = self.entry.membership.view.members("entry")
        return next((one for one in found if one.name == name), None)

    def drop(self, link):
        """Forget a link that was lost."""
        if self.links.get(link.name) is link:
            del self.links[link.name]

    def tick(self):
        """Close links that are idle or have gone silent."""
        now = self.entry.context.now()
        for link in list(self.links.values()):
            if link.silent(now) or now - link.used > IDLE_SECONDS:
                link.task.cancel()
                self.drop(link)

    async def close(self):
        """End all links and the port."""
        tasks = [link.task for link in self.links.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.listener:
            await self.listener.close()
