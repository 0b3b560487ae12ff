"""Links from an entry to endpoint daemons: one task for each, which dials again when lost."""

import asyncio

from persimmonstall.messages import control, requests

from .exchange import LinkDown, LinkUp

STEP = "links"


class EndpointLink:
    """Keeps a link to the endpoint daemon of one instance open."""

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
            requests.End: self.on_answer,
            requests.Refused: self.on_answer,
            requests.Started: self.on_answer,
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
        """Whether the peer has introduced itself on an open link."""
        return self.link is not None and bool(self.run_id)

    def send(self, message):
        """Queue a message; False when there is no open link."""
        return self.ready and self.link.send(message)

    async def run(self):
        """Dial, serve and dial again until cancelled."""
        settings = self.entry.settings.links
        try:
            while True:
                link = await self.entry.network.dial(self.instance.address, settings.dial_timeout)
                if link:
                    await self.serve(link)
                else:
                    self.failures += 1
                await asyncio.sleep(self.pause())
        finally:
            await self.drop()

    def pause(self):
        """Return the seconds to wait before dialling again, with jitter."""
        settings = self.entry.settings.links
        doubled = settings.retry_base * 2 ** min(self.failures, 16)
        return self.entry.context.jitter(min(settings.retry_cap, doubled), 0.5)

    async def serve(self, link):
        """Read one open link until it is lost or silent."""
        self.link = link
        self.run_id = ""
        self.last_heard = self.entry.context.now()
        link.send(self.entry.hello())
        beat = asyncio.create_task(self.beat(link))
        try:
            while True:
                message = await link.receive()
                if not message:
                    return
                self.last_heard = self.entry.context.now()
                self.handle(message)
        finally:
            beat.cancel()
            await self.drop()

    async def drop(self):
        """Close the link and tell the requests that ran over it."""
        link, self.link = self.link, None
        self.run_id = ""
        if link is None:
            return
        await link.close()
        self.entry.exchanges.announce(LinkDown(self.name))
        self.entry.on_link_down(self.instance)

    async def beat(self, link):
        """Send heartbeats; close the link once the peer is silent for too long."""
        settings = self.entry.settings.links
        while True:
            self.sequence += 1
            link.send(control.Ping(self.sequence, self.entry.version))
            await asyncio.sleep(self.entry.context.jitter(settings.heartbeat))
            if self.entry.context.now() - self.last_heard > settings.silence:
                self.entry.metrics.count("link_lost", tag="silent")
                await link.close()
                return

    def handle(self, message):
        """Handle one message of the peer."""
        handler = self.handlers.get(type(message))
        if handler:
            handler(message)
        else:
            self.entry.dispatch_control(message, self)

    def on_chunks(self, message):
        """Bring the tokens of one engine step to their requests."""
        for chunk in message.chunks:
            self.entry.exchanges.deliver(chunk)

    def on_answer(self, message):
        """Bring the end of an attempt to its request."""
        self.entry.exchanges.deliver(message)

    def learn(self, version, loads):
        """Note the peer's catalogue version and the loads of its endpoints."""
        self.version = version
        self.loads = {load.endpoint: load for load in loads}
        self.entry.on_loads(self.instance, loads)
        self.entry.note_peer_version(version, self)

    def on_hello(self, hello):
        """Take up a daemon that introduced itself."""
        self.failures = 0
        self.run_id = hello.run
        self.entry.on_hello(hello, self)
        self.entry.membership.on_hello(hello)
        self.learn(hello.config_version, hello.endpoints)
        self.entry.exchanges.announce(LinkUp(self.name, hello.run))

    def on_pong(self, pong):
        """Take the loads that came with a heartbeat's answer."""
        self.learn(pong.config_version, pong.endpoints)

    def on_loads(self, loads):
        """Take the loads that came with an answer."""
        self.entry.on_loads(self.instance, loads.endpoints)

    def on_leaving(self, leaving):
        """Stop placing work on endpoints that are leaving."""
        self.entry.on_leaving(self.instance, leaving.endpoints)


class EndpointLinks:
    """The links of this entry by instance name."""

    def __init__(self, entry):
        self.entry = entry
        self.by_instance = {}
        self.by_endpoint = {}

    def set(self, instances):
        """Keep links to exactly these endpoint instances."""
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

    def learn(self, instance, loads):
        """Note which instance fronts the endpoints that it reported."""
        for load in loads:
            self.by_endpoint[load.endpoint] = instance.name

    def linked(self):
        """Return the links whose peer has introduced itself."""
        return [link for link in self.by_instance.values() if link.ready]

    def of(self, endpoint):
        """Return the link to the daemon that fronts `endpoint`, or None."""
        return self.by_instance.get(self.by_endpoint.get(endpoint))

    async def close(self):
        """End all link tasks."""
        tasks = [link.task for link in self.by_instance.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.by_instance.clear()
