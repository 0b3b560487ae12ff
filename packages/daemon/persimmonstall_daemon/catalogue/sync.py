"""Exchange of the catalogue with the daemons that this one is linked to."""

import asyncio

from persimmonstall.failures import Failure, Reason
from persimmonstall.messages.control import CatalogueChanges, CatalogueRequest

from .peers import Peers

STEP = "catalogue_ask"
ASKED_PEERS = 3
FIRST_LINK_SECONDS = 2.0
"""Longest wait of a starting daemon for the first link to a peer."""
LINK_POLL_SECONDS = 0.05


class LinkedPeers(Peers):
    """Asks over links; `linked()` returns the peers with an open link.

    The links' tasks hand `CatalogueRequest` and `CatalogueChanges` to `on_ask` and `on_changes`.
    """

    def __init__(self, settings, context, linked):
        self.settings = settings
        self.context = context
        self.linked = linked
        self.follower = None
        self.answers = {}
        self.met = False

    def register(self, follower, control_handlers):
        """Answer from `follower`; put the handlers into a daemon's table of messages."""
        self.follower = follower
        control_handlers[CatalogueRequest] = self.on_ask
        control_handlers[CatalogueChanges] = self.on_changes

    async def ask(self, message, peer=""):
        """Return the `CatalogueChanges` with the highest version, or a `Failure`."""
        chosen = self.choose(await self.reachable(), peer)
        queue = asyncio.Queue()
        asked = {one.name for one in chosen if self.send(one, message, queue)}
        best = None
        try:
            async with asyncio.timeout(self.settings.platform.timeout):
                while asked:
                    name, answer = await queue.get()
                    asked.discard(name)
                    best = max(best or answer, answer, key=lambda one: one.version)
        except TimeoutError:
            pass
        finally:
            self.forget(queue)
        return best or Failure(Reason.PEER_LOST, STEP, peer, "no peer answered")

    async def reachable(self):
        """Return the linked peers; a starting daemon waits for the first one."""
        until = self.context.now() + (0.0 if self.met else FIRST_LINK_SECONDS)
        while not self.linked() and self.context.now() < until:
            await asyncio.sleep(LINK_POLL_SECONDS)
        self.met = True
        return self.linked()

    def choose(self, peers, preferred):
        """Return the peers to ask: the preferred one and some at random."""
        shuffled = self.context.random.sample(peers, len(peers))
        shuffled.sort(key=lambda one: one.name != preferred)
        return shuffled[:ASKED_PEERS]

    def send(self, peer, message, queue):
        """Ask one peer whose answer goes to `queue`; False when its link is closed."""
        self.answers.setdefault(peer.name, []).append(queue)
        return peer.send(message)

    def forget(self, queue):
        """Stop waiting for answers into `queue`."""
        for name, queues in list(self.answers.items()):
            if queue in queues:
                queues.remove(queue)
            if not queues:
                del self.answers[name]

    def on_ask(self, ask, link):
        """Answer a peer that asks."""
        link.send(self.follower.answer(ask))

    def on_changes(self, changes, link):
        """Bring a peer's answer to whoever asked."""
        for queue in self.answers.get(link.name, ()):
            queue.put_nowait((link.name, changes))
