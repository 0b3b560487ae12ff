"""The endpoint daemon: accepts links from entries and serves one or more endpoints."""

import asyncio

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import control, requests

from ..claims import ClaimManager
from ..linked_daemon import LinkedDaemon
from ..quarantine import QuarantineManager
from .session import Session

STEP = "endpoint"
DRAIN_POLL_SECONDS = 0.05
"""Interval of the checks whether all work has ended during a graceful shutdown."""

FLUSH_SECONDS = 1.0
"""Longest time for sending what is queued on a link before it is closed."""


class EndpointDaemon(LinkedDaemon):
    """Owns the sessions with entries and one backend task for each endpoint.

    `stores` holds the platform's table and object store; the other parameters are those of
    `LinkedDaemon`.
    """

    def __init__(self, settings, network, context, metrics, follower, stores, strict=False):
        super().__init__(settings, network, context, metrics, follower, strict)
        self.stopping = False
        self.claims = ClaimManager(settings, stores.table, stores.objects, context, self.run_id)
        self.quarantine = QuarantineManager(self, stores.table, self.open_links)
        self.backends = {}
        self.sessions = set()
        self.backends_by_attempt = {}
        self.quarantine.register(self.control_handlers)
        self.listener = None

    def add_backend(self, backend):
        """Add an endpoint to serve; call before `start`."""
        self.backends[backend.name] = backend

    async def start(self):
        """Start the backends and listen for links."""
        for coroutine in (self.claims.run_queue(), self.quarantine.run()):
            self.tasks.append(asyncio.create_task(coroutine))
        for backend in self.backends.values():
            self.tasks.append(asyncio.create_task(backend.run()))
        self.listener = await self.network.listen(self.settings.daemon.address, self.accept)

    async def accept(self, link):
        """Serve one link until it is closed."""
        session = Session(link, self)
        self.sessions.add(session)
        await session.run()

    def remove_session(self, session):
        """Remove a session whose link is closed."""
        self.sessions.discard(session)

    def loads(self):
        """Return the loads of all endpoints served here."""
        return tuple(backend.load() for backend in self.backends.values())

    def hello(self):
        """Return the `Hello` that opens a link."""
        daemon = self.settings.daemon
        return control.Hello(
            daemon.instance,
            daemon.role,
            daemon.data_centre,
            self.run_id,
            self.catalogue_version,
            self.loads(),
        )

    def pong(self, sequence):
        """Return the `Pong` that answers a heartbeat."""
        return control.Pong(sequence, self.catalogue_version, self.loads())

    def open_links(self):
        """Return the sessions whose entry has sent its `Hello`."""
        return [session for session in self.sessions if session.name]

    def broadcast(self, message):
        """Send `message` to every connected entry."""
        for session in self.sessions:
            session.send(message)

    def register_attempt(self, key, backend):
        """Record that `backend` has the attempt `key`."""
        self.backends_by_attempt[key] = backend

    def unregister_attempt(self, key):
        """Remove the record of which backend has the attempt `key`."""
        self.backends_by_attempt.pop(key, None)

    def backend_of(self, key):
        """Return the backend that has the attempt `key`, or None."""
        return self.backends_by_attempt.get(key)

    def unknown_endpoint(self, message):
        """Return the refusal of a message for an endpoint that is not served here."""
        if isinstance(message, control.Reserve):
            return control.Reserved(message.reservation, message.endpoint, Reason.NO_ENDPOINT)
        return self.make_refusal(message, Reason.NO_ENDPOINT, Outcome.NOT_RUN)

    def unknown_attempt(self, message):
        """Return the refusal of a message about an attempt that this daemon does not have."""
        return self.make_refusal(message, Reason.NOT_FOUND, Outcome.UNKNOWN)

    def make_refusal(self, message, reason, outcome):
        """Return a `Refused` message in the name of this daemon."""
        peer = self.settings.daemon.instance
        request_id = getattr(message, "request_id", "")
        attempt = getattr(message, "attempt", 0)
        return requests.Refused(request_id, attempt, reason, STEP, peer, outcome)

    def leave(self):
        """Refuse new work from now on and broadcast this to the entries."""
        self.stopping = True
        for backend in self.backends.values():
            self.broadcast(backend.leave())

    async def drain(self):
        """Refuse new work; wait until every attempt has ended and its result was sent."""
        self.leave()
        while self.claims.pending_writes or any(
            one.pending_count() for one in self.backends.values()
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self):
        """Cancel all tasks and close the links and the port."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for session in list(self.sessions):
            await session.link.flush(FLUSH_SECONDS)
            await session.link.close()
        if self.listener:
            await self.listener.close()
