"""Synchronisation of the catalogue with the daemons that this one is linked to."""

import asyncio

from persimmonstall.failures import Failure, Reason
from persimmonstall.messages.control import CatalogueChanges, CatalogueRequest

from .peers import CataloguePeers

STEP = "catalogue_ask"
MAX_ASKED_PEERS = 3
FIRST_LINK_SECONDS = 2.0
"""Maximum time for which a starting daemon waits for its first link to a peer."""
LINK_POLL_SECONDS = 0.05


class LinkedPeers(CataloguePeers):
    """Sends requests over links; `open_links()` returns the peers with an open link.

    The links' tasks pass each `CatalogueRequest` to `on_request` and each `CatalogueChanges` to
    `on_changes`.
    """

    def __init__(self, settings, context, open_links):
        self.settings = settings
        self.context = context
        self.open_links = open_links
        self.follower = None
        self.waiting_queues = {}
        self.waited_for_link = False

    def register(self, follower, control_handlers):
        """Use `follower` for responses; add the handlers to a daemon's `control_handlers`."""
        self.follower = follower
        control_handlers[CatalogueRequest] = self.on_request
        control_handlers[CatalogueChanges] = self.on_changes

    async def request(self, message, peer=""):
        """Return the `CatalogueChanges` with the highest version, or a `Failure`."""
        chosen = self.choose(await self.reachable(), peer)
        queue = asyncio.Queue()
        pending = {one.name for one in chosen if self.send(one, message, queue)}
        best = None
        try:
            async with asyncio.timeout(self.settings.platform.timeout):
                while pending:
                    name, answer = await queue.get()
                    pending.discard(name)
                    best = max(best or answer, answer, key=lambda one: one.version)
        except TimeoutError:
            pass
        finally:
            self.remove_queue(queue)
        return best or Failure(Reason.PEER_LOST, STEP, peer, "no peer answered")

    async def reachable(self):
        """Return the linked peers; a starting daemon waits for its first link."""
        until = self.context.now() + (0.0 if self.waited_for_link else FIRST_LINK_SECONDS)
        while not self.open_links() and self.context.now() < until:
            await asyncio.sleep(LINK_POLL_SECONDS)
        self.waited_for_link = True
        return self.open_links()

    def choose(self, peers, preferred):
        """Return up to `MAX_ASKED_PEERS` random peers, with the preferred one first."""
        shuffled = self.context.random.sample(peers, len(peers))
        shuffled.sort(key=lambda one: one.name != preferred)
        return shuffled[:MAX_ASKED_PEERS]

    def send(self, peer, message, queue):
        """Send `message` to a peer whose response goes to `queue`; False if its link is closed."""
        self.waiting_queues.setdefault(peer.name, []).append(queue)
        return peer.send(message)

    def remove_queue(self, queue):
        """Remove `queue` from all lists of waiting queues."""
        for name, queues in list(self.waiting_queues.items()):
            if queue in queues:
                queues.remove(queue)
            if not queues:
                del self.waiting_queues[name]

    def on_request(self, request, link):
        """Answer the request of a peer."""
        link.send(self.follower.changes_for(request))

    def on_changes(self, changes, link):
        """Pass a peer's response to every call that waits for one from this peer."""
        for queue in self.waiting_queues.get(link.name, ()):
            queue.put_nowait((link.name, changes))
