"""The endpoint daemon: listens for entries and fronts one or more endpoints."""

import asyncio

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import control, requests

from ..claims import ClaimManager
from ..linked_daemon import LinkedDaemon
from ..quarantine import QuarantineManager
from .session import Session

STEP = "endpoint"
DRAIN_POLL_SECONDS = 0.05
FLUSH_SECONDS = 1.0


class EndpointDaemon(LinkedDaemon):
    """Owns the sessions with entries and one backend task for each endpoint.

    `stores` are the platform's table and object store; the rest as in `LinkedDaemon`.
    """

    def __init__(self, settings, network, context, metrics, follower, stores, strict=False):
        super().__init__(settings, network, context, metrics, follower, strict)
        self.stopping = False
        self.claims = ClaimManager(settings, stores.table, stores.objects, context, self.run_id)
        self.quarantine = QuarantineManager(
            settings,
            stores.table,
            context,
            metrics,
            self.invariants,
            follower,
            self.linked,
            self.run_id,
        )
        self.backends = {}
        self.sessions = set()
        self.owners = {}
        self.quarantine.register(self.control_handlers)
        self.listener = None

    def add_backend(self, backend):
        """Front one more endpoint; call before `start`."""
        self.backends[backend.name] = backend

    async def start(self):
        """Start the backends and listen."""
        for coroutine in (self.claims.run_queue(), self.quarantine.run()):
            self.tasks.append(asyncio.create_task(coroutine))
        for backend in self.backends.values():
            self.tasks.append(asyncio.create_task(backend.run()))
        self.listener = await self.network.listen(self.settings.daemon.address, self.accept)

    async def accept(self, link):
        """Serve one link until it ends."""
        session = Session(link, self)
        self.sessions.add(session)
        await session.run()

    def forget(self, session):
        """Drop a session whose link is gone."""
        self.sessions.discard(session)

    def loads(self):
        """Return the loads of all endpoints fronted here."""
        return tuple(backend.load() for backend in self.backends.values())

    def hello(self):
        """Return the first message on a link."""
        daemon = self.settings.daemon
        return control.Hello(
            daemon.instance,
            daemon.role,
            daemon.data_centre,
            self.run_id,
            self.version,
            self.loads(),
        )

    def pong(self, sequence):
        """Return the answer to a heartbeat."""
        return control.Pong(sequence, self.version, self.loads())

    def linked(self):
        """Return the sessions whose entry has introduced itself."""
        return [session for session in self.sessions if session.name]

    def broadcast(self, message):
        """Send `message` to every entry that is connected."""
        for session in self.sessions:
            session.send(message)

    def claim_owner(self, key, backend):
        """Note which backend has the attempt `key`."""
        self.owners[key] = backend

    def release_owner(self, key):
        """Forget the attempt `key`."""
        self.owners.pop(key, None)

    def owner_of(self, key):
        """Return the backend that has the attempt `key`, or None."""
        return self.owners.get(key)

    def unknown_endpoint(self, message):
        """Return the refusal of a message for an endpoint that is not fronted here."""
        if isinstance(message, control.Reserve):
            return control.Reserved(message.reservation, message.endpoint, Reason.NO_ENDPOINT)
        return self.not_here(message, Reason.NO_ENDPOINT, Outcome.NOT_RUN)

    def unknown_attempt(self, message):
        """Return the answer to an attach to an attempt that this run does not have."""
        return self.not_here(message, Reason.NOT_FOUND, Outcome.UNKNOWN)

    def not_here(self, message, reason, outcome):
        """Return a refusal from this daemon."""
        peer = self.settings.daemon.instance
        request_id = getattr(message, "request_id", "")
        attempt = getattr(message, "attempt", 0)
        return requests.Refused(request_id, attempt, reason, STEP, peer, outcome)

    def leave(self):
        """Take no new work from now on and tell the entries."""
        self.stopping = True
        for backend in self.backends.values():
            self.broadcast(backend.leave())

    async def drain(self):
        """Take no new work and wait until every attempt has ended and was sent."""
        self.leave()
        while self.claims.pending or any(one.busy() for one in self.backends.values()):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self):
        """End all tasks and close the port."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for session in list(self.sessions):
            await session.link.flush(FLUSH_SECONDS)
            await session.link.close()
        if self.listener:
            await self.listener.close()
