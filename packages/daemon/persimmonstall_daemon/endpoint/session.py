"""One link from an entry: a task that owns the link and routes its messages."""

import asyncio

from persimmonstall.messages import control, requests

from .backend import SessionLost

ROUTED = (requests.Submit, control.Reserve, control.Release)
"""Messages that name the endpoint they are for."""

TRACKED = (requests.Cancel, requests.Credit, requests.Attach)
"""Messages about an attempt that a backend already has."""


class Session:
    """Reads one link until it is lost; `daemon` is the endpoint daemon.

    `name` is the entry's instance, empty until it has introduced itself.
    """

    def __init__(self, link, daemon):
        self.link = link
        self.daemon = daemon
        self.peer = link.peer
        self.name = ""
        self.last_heard = daemon.context.now()

    def send(self, message):
        """Queue a message for the entry."""
        return self.link.send(message)

    async def run(self):
        """Serve the link until it is closed or silent for too long."""
        self.send(self.daemon.hello())
        watch = asyncio.create_task(self.watch())
        try:
            while True:
                message = await self.link.receive()
                if not message:
                    return
                self.last_heard = self.daemon.context.now()
                self.route(message)
        finally:
            watch.cancel()
            self.daemon.forget(self)
            for backend in self.daemon.backends.values():
                backend.post(SessionLost(self))
            await self.link.close()

    async def watch(self):
        """Close the link when the entry has been silent for too long."""
        links = self.daemon.settings.links
        while self.daemon.context.now() - self.last_heard < links.silence:
            await asyncio.sleep(links.heartbeat)
        await self.link.close()

    def route(self, message):
        """Hand one message to the task that it concerns."""
        if isinstance(message, ROUTED):
            self.to_endpoint(message)
        elif isinstance(message, TRACKED):
            self.to_attempt(message)
        elif isinstance(message, control.Hello):
            self.peer = message.instance
            self.name = message.instance
            self.daemon.note_peer_version(message.config_version, self)
            self.daemon.quarantine.send_all_verdicts(self)
        elif isinstance(message, control.Ping):
            self.daemon.note_peer_version(message.config_version, self)
            self.send(self.daemon.pong(message.sequence))
        else:
            self.daemon.dispatch_control(message, self)

    def to_endpoint(self, message):
        """Hand a message to the backend it names, or refuse it."""
        backend = self.daemon.backends.get(message.endpoint)
        if backend is None:
            self.send(self.daemon.unknown_endpoint(message))
            return
        backend.post(message, self)

    def to_attempt(self, message):
        """Hand a message to the backend that has the attempt."""
        key = message.request_id, message.attempt
        backend = self.daemon.owner_of(key)
        if backend is not None:
            backend.post(message, self)
        elif isinstance(message, requests.Attach):
            self.send(self.daemon.unknown_attempt(message))
