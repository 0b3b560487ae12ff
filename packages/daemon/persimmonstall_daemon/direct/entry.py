"""The direct entry: its state, and the tasks that own its sockets."""

import asyncio
import random
import signal
import time

from persimmonstall.clock import Context
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State

from ..observe import logs
from ..observe.prometheus import PrometheusMetrics
from ..service import DaemonService
from .call_handler import CallHandler
from .callers import CallerServer, listen
from .endpoint_client import EndpointClient
from .loads import Loads
from .peers import Peers
from .reservations import Tickets
from .status import StatusServer

TICK_SECONDS = 0.1
"""Time between looks at what time alone changes."""

FREEZE_SECONDS = 0.7
"""Time that passed unseen between two ticks from which the process counts as suspended."""

STARTING_SECONDS = 1.0
"""Seconds of the entry's life in which a call waits for the configuration, which is on its way."""

ALONE_SECONDS = 0.6
"""Seconds after it became ready for which an entry does not know all that others do."""

STARTING_POLL_SECONDS = 0.02
SETTINGS_POLL_SECONDS = 1.0
"""Time between looks at the settings file."""

DRAIN_POLL_SECONDS = 0.05
GRACE_MARGIN = 1.0
"""Seconds of the grace that are kept back to exit in an orderly way."""

RELEASE_SECONDS = 0.2
"""Seconds for which a leaving entry waits until its last reservations are released."""


def steady_clock():
    """Return a context whose time also counts while the machine is suspended."""
    return Context(now=lambda: time.clock_gettime(time.CLOCK_BOOTTIME), random=random.Random())


class DirectEntry(DaemonService):
    """An entry that calls endpoints itself; `adapter` speaks to the platform.

    `listener` is a socket that already listens at the callers' address, None to open one.
    `log_stream` counts the log lines that it dropped, None where none are dropped.
    """

    def __init__(self, settings, adapter, listener=None, log_stream=None):
        super().__init__(settings, PrometheusMetrics(), steady_clock())
        direct = settings.direct
        self.adapter = adapter
        self.dialect = adapter.dialect
        self.log = logs.get("direct")
        budget = SharedRetryBudget(direct.budget_ratio, direct.budget_slack, direct.budget_window)
        self.state = State(budget, settings.daemon.data_centre)
        self.client = EndpointClient(self.dialect)
        adapter.attach(self)
        self.directory = adapter.directory
        self.orders = adapter.orders
        self.peers = Peers(self)
        self.loads = Loads(self, self.peers.changed)
        self.tickets = Tickets(self)
        self.call_handler = CallHandler(self)
        self.callers = CallerServer(self)
        self.status = StatusServer(self)
        self.listener = listener
        self.log_stream = log_stream
        self.leaving = False
        self.begun = self.now()
        self.taken_out_at = None
        self.kill_at = None
        self.next_attempt = 0

    def now(self):
        """Return the time in seconds, suspended time included."""
        return self.clock.now()

    def new_attempt_name(self):
        """Return a name for an attempt that no other entry uses."""
        self.next_attempt += 1
        return f"{self.peers.run_id:x}-{self.next_attempt}"

    @property
    def ready(self):
        """Whether new connections are wanted."""
        return self.state.ready and not self.leaving

    def apply_update(self, news, source="directory"):
        """Take a piece of news into the state; write down what it changes."""
        was_ready = self.state.ready
        changed = self.state.apply_update(news, self.now())
        if self.state.ready and not was_ready:
            self.place_alone()
        if changed:
            self.log_change(news, source)
            self.peers.changed(True)

    def place_alone(self):
        """Use an order of engines of this entry's own until it knows the others' flights.

        Where many entries start at once, all would send what has queued up to the same engines.
        """
        placer = self.state.placer
        placer.salt = f"{self.peers.run_id:x}"
        asyncio.get_running_loop().call_later(ALONE_SECONDS, setattr, placer, "salt", "")

    def log_change(self, news, source):
        """Write down a change of configuration or endpoints."""
        state = self.state
        self.log.info(
            "view_changed",
            news=type(news).__name__,
            source=source,
            configuration=state.configuration.version if state.configuration else 0,
            endpoints_revision=state.fleet.version,
            endpoints=len(state.fleet.endpoints),
            leaving=sum(e.leaving for e in state.fleet.endpoints.values()),
        )

    async def start_role(self):
        """Open all sockets and start the tasks."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        await self.status.start()
        await self.client.start()
        await self.adapter.start()
        await self.peers.start()
        await self.callers.start(self.listener or listen(self.settings.daemon.http))
        self.spawn(self.directory.follow(self.apply_update))
        self.spawn(self.peers.run())
        self.spawn(self.tick())
        self.spawn(self.watch_settings())

    def reload(self):
        """Read the settings again after a signal."""
        self.log.info("reload_asked")
        self.adapter.reload(self)

    async def watch_settings(self):
        """Read the settings again when they change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.adapter.reload(self)

    def apply_settings(self, settings):
        """Put changed settings in force; addresses this entry listens at stay as they are."""
        direct = settings.direct
        self.settings = settings
        self.state.budget.ratio = direct.budget_ratio
        self.state.budget.slack = direct.budget_slack
        self.state.budget.window = direct.budget_window
        self.log.info("settings_reloaded", directory=direct.directory)

    async def tick(self):
        """Let time pass in the state, and notice when the process was suspended."""
        last = self.now()
        steps = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, stepped = self.now(), time.monotonic()
            unseen = (now - last) - (stepped - steps)
            last, steps = now, stepped
            if unseen > FREEZE_SECONDS:
                self.log.warning("suspended", seconds=round(unseen, 2))
                self.directory.reconnect()
                self.call_handler.reschedule_deadlines()
            self.state.tick(now)
            self.metrics.gauge("in_flight", self.callers.in_flight)
            if self.log_stream is not None:
                self.metrics.gauge("log_lines_dropped", self.log_stream.dropped)

    async def configured(self, arrived):
        """Wait until calls can be served, but only while this entry is starting."""
        until = self.begun + STARTING_SECONDS
        while not self.state.ready and self.now() < until and arrived < until:
            await asyncio.sleep(STARTING_POLL_SECONDS)

    def has_time_for(self, seconds):
        """Say whether work that takes `seconds` ends before this process does.

        Shortly after the stop signal all is taken: the balancer does not know of it yet.
        """
        if self.kill_at is None or self.now() < self.taken_out_at:
            return True
        return self.now() + seconds < self.kill_at

    async def drain_role(self):
        """Stop being ready, serve what still comes, and end when nothing is in flight.

        Connections are accepted for as long as calls come: where many entries leave at once, the
        balancer goes on sending to those that are not ready.
        """
        direct = self.settings.direct
        self.leaving = True
        takeout = min(direct.takeout, direct.grace / 2)
        self.taken_out_at = self.now() + takeout
        self.kill_at = self.now() + direct.grace - GRACE_MARGIN
        self.peers.changed(True)
        await asyncio.sleep(takeout)
        while self.callers.in_flight and self.now() < self.kill_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.callers.stop_accepting()
        await self.callers.close_idle()
        await asyncio.wait([asyncio.create_task(self.tickets.drain())], timeout=RELEASE_SECONDS)

    async def stop_role(self):
        """Close all sockets."""
        await self.callers.stop()
        await self.peers.stop()
        await self.client.stop()
        await self.adapter.stop()
        await self.status.stop()
