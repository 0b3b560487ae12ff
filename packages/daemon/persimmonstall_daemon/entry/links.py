"""Links from an entry to endpoint daemons, each kept open by a task that reconnects."""

import asyncio

from persimmonstall.messages import control, requests

from .exchange import LinkDown, LinkUp

STEP = "links"


class EndpointLink:
    """Keeps a link open to the endpoint daemon of one instance.

    `run_id` identifies the daemon process; it is empty until the daemon has sent its `Hello`.
    """

    def __init__(self, instance, entry):
        self.instance = instance
        self.entry = entry
        self.link = None
        self.run_id = ""
        self.last_heard = 0.0
        self.version = 0
        self.loads = {}
        self.sequence = 0
        self.failures = 0
        self.task = None
        self.handlers = {
            requests.Chunks: self.on_chunks,
            requests.End: self.on_attempt_message,
            requests.Refused: self.on_attempt_message,
            requests.Started: self.on_attempt_message,
            control.Hello: self.on_hello,
            control.Pong: self.on_pong,
            control.Loads: self.on_loads,
            control.Leaving: self.on_leaving,
        }

    @property
    def name(self):
        """Name of the instance."""
        return self.instance.name

    @property
    def ready(self):
        """Whether the link is open and the peer has sent its `Hello`."""
        return self.link is not None and bool(self.run_id)

    def send(self, message):
        """Queue a message; return False if the link is not ready."""
        return self.ready and self.link.send(message)

    async def run(self):
        """Connect and read the link, again after each loss, until cancelled."""
        settings = self.entry.settings.links
        try:
            while True:
                link = await self.entry.network.dial(self.instance.address, settings.dial_timeout)
                if link:
                    await self.read_link(link)
                else:
                    self.failures += 1
                await asyncio.sleep(self.redial_delay())
        finally:
            await self.disconnect()

    def redial_delay(self):
        """Return the backoff before the next dial in seconds, with jitter."""
        settings = self.entry.settings.links
        backoff = settings.retry_base * 2 ** min(self.failures, 16)
        return self.entry.context.jitter(min(settings.retry_cap, backoff), 0.5)

    async def read_link(self, link):
        """Handle the messages of an open link until it is lost or silent for too long."""
        self.link = link
        self.run_id = ""
        self.last_heard = self.entry.context.now()
        link.send(self.entry.hello())
        heartbeats = asyncio.create_task(self.send_heartbeats(link))
        try:
            while True:
                message = await link.receive()
                if not message:
                    return
                self.last_heard = self.entry.context.now()
                self.handle(message)
        finally:
            heartbeats.cancel()
            await self.disconnect()

    async def disconnect(self):
        """Close the link and notify the requests that used it."""
        link, self.link = self.link, None
        self.run_id = ""
        if link is None:
            return
        await link.close()
        self.entry.exchanges.notify_link_change(LinkDown(self.name))
        self.entry.on_link_down(self.instance)

    async def send_heartbeats(self, link):
        """Send heartbeats; close the link when nothing was received for `silence` seconds."""
        settings = self.entry.settings.links
        while True:
            self.sequence += 1
            link.send(control.Ping(self.sequence, self.entry.catalogue_version))
            await asyncio.sleep(self.entry.context.jitter(settings.heartbeat))
            if self.entry.context.now() - self.last_heard > settings.silence:
                self.entry.metrics.count("link_lost", tag="silent")
                await link.close()
                return

    def handle(self, message):
        """Dispatch one message of the peer to its handler."""
        handler = self.handlers.get(type(message))
        if handler:
            handler(message)
        else:
            self.entry.dispatch_control(message, self)

    def on_chunks(self, message):
        """Deliver the tokens of one engine step to their requests."""
        for chunk in message.chunks:
            self.entry.exchanges.deliver(chunk)

    def on_attempt_message(self, message):
        """Deliver the start or the end of an attempt to its request."""
        self.entry.exchanges.deliver(message)

    def record_status(self, version, loads):
        """Record the peer's catalogue version and the loads of its endpoints."""
        self.version = version
        self.loads = {load.endpoint: load for load in loads}
        self.entry.on_loads(self.instance, loads)
        self.entry.note_peer_version(version, self)

    def on_hello(self, hello):
        """Mark the link as ready and record what the peer reports about itself."""
        self.failures = 0
        self.run_id = hello.run
        self.entry.on_hello(hello, self)
        self.entry.membership.on_hello(hello)
        self.record_status(hello.config_version, hello.endpoints)
        self.entry.exchanges.notify_link_change(LinkUp(self.name, hello.run))

    def on_pong(self, pong):
        """Record the loads in the answer to a heartbeat."""
        self.record_status(pong.config_version, pong.endpoints)

    def on_loads(self, loads):
        """Record the loads sent together with an answer."""
        self.entry.on_loads(self.instance, loads.endpoints)

    def on_leaving(self, leaving):
        """Stop placing work on endpoints that are leaving."""
        self.entry.on_leaving(self.instance, leaving.endpoints)


class EndpointLinks:
    """The links of this entry, by instance name and by endpoint name."""

    def __init__(self, entry):
        self.entry = entry
        self.by_instance = {}
        self.by_endpoint = {}

    def set(self, instances):
        """Open and close links so that there is one to each of `instances` and no other."""
        wanted = {instance.name: instance for instance in instances}
        for name in list(self.by_instance):
            if (
                name not in wanted
                or wanted[name].address != self.by_instance[name].instance.address
            ):
                self.by_instance.pop(name).task.cancel()
        for name, instance in wanted.items():
            if name not in self.by_instance:
                link = EndpointLink(instance, self.entry)
                link.task = asyncio.create_task(link.run())
                self.by_instance[name] = link

    def record_endpoints(self, instance, loads):
        """Record that the endpoints in `loads` are served by `instance`."""
        for load in loads:
            self.by_endpoint[load.endpoint] = instance.name

    def open_links(self):
        """Return the links that are ready."""
        return [link for link in self.by_instance.values() if link.ready]

    def link_to(self, endpoint):
        """Return the link to the daemon that serves `endpoint`, or None."""
        return self.by_instance.get(self.by_endpoint.get(endpoint))

    def send(self, endpoint, message):
        """Send a message to the daemon that serves `endpoint`; return False without a link."""
        link = self.link_to(endpoint)
        return link is not None and link.send(message)

    async def close(self):
        """Cancel all link tasks and wait for them to end."""
        tasks = [link.task for link in self.by_instance.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.by_instance.clear()
