"""Session with one entry: reads its link and routes the messages."""

import asyncio

from persimmonstall.messages import control, requests

from .backend import SessionLost

ENDPOINT_MESSAGES = (requests.Submit, control.Reserve, control.Release)
"""Types of messages that name the endpoint that they are for."""

ATTEMPT_MESSAGES = (requests.Cancel, requests.Credit, requests.Attach)
"""Types of messages about an attempt that a backend already has."""


class Session:
    """Reads one link until it is lost; `daemon` is the endpoint daemon.

    `name` is the entry's instance name, empty until its `Hello` has arrived.
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
            self.daemon.remove_session(self)
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
        """Dispatch one message to the backend or handler that it is for."""
        if isinstance(message, ENDPOINT_MESSAGES):
            self.route_to_endpoint(message)
        elif isinstance(message, ATTEMPT_MESSAGES):
            self.route_to_attempt(message)
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

    def route_to_endpoint(self, message):
        """Post a message to the backend that it names, or refuse it."""
        backend = self.daemon.backends.get(message.endpoint)
        if backend is None:
            self.send(self.daemon.unknown_endpoint(message))
            return
        backend.post(message, self)

    def route_to_attempt(self, message):
        """Post a message to the backend that has the attempt.

        An `Attach` to an unknown attempt is refused; other messages about it are dropped.
        """
        key = message.request_id, message.attempt
        backend = self.daemon.backend_of(key)
        if backend is not None:
            backend.post(message, self)
        elif isinstance(message, requests.Attach):
            self.send(self.daemon.unknown_attempt(message))
