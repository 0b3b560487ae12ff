"""The entry of direct mode: its state, and the tasks that own its sockets."""

import asyncio
import math
import random
import signal
import time

from persimmonstall.clock import Context
from persimmonstall.direct.cold import ColdEndpoints
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State
from persimmonstall.direct.updates import ConfigurationUpdate, EvacuationUpdate, RestoredUpdate

from ..observe import logs
from ..observe.prometheus import PrometheusMetrics
from ..service import DaemonService
from .admission import AdmissionQueue
from .answer_memory import AnswerMemory
from .call_handler import CallHandler
from .callers import CallerServer, listen
from .chooser import EndpointChooser
from .cold import ColdReporter
from .crash_records import CrashRecords
from .crash_reports import CrashReporter
from .directory_readers import DirectoryReaders
from .endpoint_client import EndpointClient
from .entry_memory import EntryMemory
from .evacuations import EvacuationReporter
from .held_endpoints import HeldEndpoints
from .limits import LimitReporter
from .loads import LoadReporter
from .notices import NoticeReporter
from .ownership import Ownership
from .peers import Peers
from .permits import PermitExchange
from .provenance import Provenance
from .reservations import Reservations
from .status import StatusServer
from .ticker import Ticker
from .time_limits import TimeLimits
from .trials import TrialExchange

DIRECTORY_SOURCE = "directory"
"""Source of updates that this entry itself has read."""

STARTUP_SECONDS = 1.0
"""Seconds after the start in which a call waits for the configuration to arrive."""

PEER_DISCOVERY_SECONDS = 0.6
"""Seconds after becoming ready in which an entry may not know the other entries' calls yet."""

STARTUP_POLL_SECONDS = 0.02
SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked for changes."""

DRAIN_POLL_SECONDS = 0.05
GRACE_MARGIN_SECONDS = 1.0
"""Seconds of the grace period that are reserved for an orderly exit."""

MAX_LAST_POLLS = 12
"""Maximum number of polls for which a stopping entry waits for its last calls to end."""

MAX_LOGGED_NAMES = 5
"""Maximum number of organisations that one line of the log names."""


def boottime_context():
    """Return a `Context` whose clock also counts the time that the machine is suspended."""
    return Context(now=lambda: time.clock_gettime(time.CLOCK_BOOTTIME), random=random.Random())


class DirectEntry(DaemonService):
    """An entry that calls endpoints itself; `adapter` connects it to the platform.

    `listener` is a socket that already listens at the callers' address, None to open one.
    `log_stream` is the log's output, which counts the lines it dropped, None if it drops none.
    """

    def __init__(self, settings, adapter, listener=None, log_stream=None):
        super().__init__(settings, PrometheusMetrics(), boottime_context())
        options = settings.direct
        self.memory = EntryMemory(self)
        self.adapter = adapter
        self.dialect = adapter.dialect
        self.log = logs.get("direct")
        budget = SharedRetryBudget(
            options.budget_ratio, options.budget_slack, options.budget_window
        )
        cold = ColdEndpoints(options.cold_overage, options.cold_slack)
        self.state = State(
            budget, settings.daemon.data_centre, random=self.clock.random, cold=cold
        )
        self.client = EndpointClient(self.dialect)
        adapter.attach(self)
        self.directory = adapter.directory
        self.memory_reservations = adapter.memory_reservations
        self.provenance = Provenance(self)
        self.peers = Peers(self)
        self.peers.add_report(self.state.observations)
        self.ownership = Ownership(self, self.peers)
        self.readers = DirectoryReaders(self, self.peers, self.ownership)
        self.permits = PermitExchange(self, self.peers)
        self.trials = TrialExchange(self, self.peers)
        self.loads = LoadReporter(self, self.peers.schedule_beacon)
        self.limits = LimitReporter(self, self.peers.schedule_beacon)
        self.notices = NoticeReporter(self, self.peers.schedule_beacon)
        self.evacuations = EvacuationReporter(self)
        self.held_endpoints = HeldEndpoints(self)
        self.cold = ColdReporter(self)
        self.chooser = EndpointChooser(self)
        self.admission = AdmissionQueue(self)
        self.crash_reporter = CrashReporter(self)
        self.crash_records = CrashRecords(self)
        self.reservations = Reservations(self)
        self.time_limits = TimeLimits(self)
        self.answer_memory = AnswerMemory(self)
        self.call_handler = CallHandler(self)
        self.callers = CallerServer(self)
        self.status = StatusServer(self)
        self.listener = listener
        self.log_stream = log_stream
        self.leaving = False
        self.started_at = self.now()
        self.balancer_informed_at = math.inf
        self.exits_at = math.inf
        self.next_attempt = 0
        self.ticker = Ticker(self)

    def now(self):
        """Return the time in seconds, including time spent suspended."""
        return self.clock.now()

    def new_attempt_name(self):
        """Return a name for an attempt, unique among all entries."""
        self.next_attempt += 1
        return f"{self.peers.run_id:x}-{self.next_attempt}"

    @property
    def ready(self):
        """Whether the load balancer should send new connections to this entry."""
        return self.state.ready and not self.leaving

    def apply_update(self, update, source=DIRECTORY_SOURCE):
        """Apply an update to the state; log a change and send it to the peers."""
        if isinstance(update, RestoredUpdate):
            self.write_again()
            return
        was_ready = self.state.ready
        changed = self.state.apply_update(update, self.now())
        if self.state.ready and not was_ready:
            self.use_own_engine_order()
        if changed and isinstance(update, EvacuationUpdate):
            self.evacuations.record_change(source)
        elif changed:
            self.provenance.record(update, source)
            self.log_change(update, source)
            if isinstance(update, ConfigurationUpdate):
                self.log_unsendable()
            if source == DIRECTORY_SOURCE:
                self.peers.announce()
            else:
                self.peers.schedule_beacon(True)

    def write_again(self):
        """Write again what the directory may have lost."""
        self.crash_records.write_again()
        self.peers.registration.rows.forget()
        self.spawn(self.peers.registration.register())

    def use_own_engine_order(self):
        """Rank engines in an order of this entry's own until it knows the other entries' calls.

        If many entries start at once, a common order would send all queued calls to the same
        engines.
        """
        placer = self.state.placer
        placer.salt = f"{self.peers.run_id:x}"
        asyncio.get_running_loop().call_later(PEER_DISCOVERY_SECONDS, setattr, placer, "salt", "")

    def log_change(self, update, source):
        """Log a change of the configuration or the endpoints."""
        state = self.state
        self.log.info(
            "view_changed",
            news=update.LOG_NAME,
            source=source,
            **self.provenance.fields(),
            endpoints_revision=state.fleet.revision,
            endpoints=len(state.fleet.endpoints),
            leaving=sum(e.leaving for e in state.fleet.endpoints.values()),
        )

    def log_unsendable(self):
        """Log the organisations whose calls are refused, since their names cannot be sent."""
        keys = self.state.configuration.keys
        names = sorted({repr(owner.name) for owner in keys.values() if not owner.sendable})
        if names:
            self.log.warning(
                "organisations_unsendable", count=len(names), names=names[:MAX_LOGGED_NAMES]
            )

    async def start_role(self):
        """Open all sockets and start the tasks."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        await self.status.start()
        await self.client.start()
        await self.adapter.start()
        await self.peers.start()
        self.memory.start()
        await self.callers.start(self.listener or listen(self.settings.daemon.http))
        self.supervise(lambda: self.directory.follow(self.apply_update, self.readers))
        self.supervise(self.peers.run)
        self.supervise(self.peers.registration.run)
        self.supervise(self.crash_records.run)
        self.supervise(self.ticker.run)
        self.supervise(self.watch_settings)

    def reload(self):
        """Reload the settings file after a signal."""
        self.log.info("reload_asked")
        self.adapter.reload(self)

    async def watch_settings(self):
        """Reload the settings file when it changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.adapter.reload(self)

    def apply_settings(self, settings):
        """Apply changed settings; the entry keeps listening at the same addresses."""
        options = settings.direct
        self.settings = settings
        self.state.budget.ratio = options.budget_ratio
        self.state.budget.slack = options.budget_slack
        self.state.budget.window = options.budget_window
        self.state.set_cold_bounds(options.cold_overage, options.cold_slack, self.now())
        self.log.info("settings_reloaded", directory=options.directory)

    @property
    def knows_enough(self):
        """Whether calls can be served, and those that crash endpoints are known."""
        return self.state.ready and self.crash_records.loaded

    @property
    def starting(self):
        """Whether this entry started so lately that calls wait for what it does not know yet."""
        return self.now() < self.started_at + STARTUP_SECONDS

    @property
    def calls_wait(self):
        """Whether calls wait now, so that a newer configuration may decide about them."""
        return self.starting and not self.knows_enough

    async def wait_until_configured(self, deadline):
        """Wait until calls can be served, but only while this entry is starting up.

        A call does not wait past its `deadline`.
        """
        while self.calls_wait and self.now() < deadline:
            await asyncio.sleep(STARTUP_POLL_SECONDS)

    def ends_before_exit(self, deadline):
        """Return whether a call with this deadline certainly ends before this process exits.

        Shortly after the stop signal every call is accepted, since the load balancer does not
        know of the shutdown yet.
        """
        return self.now() < self.balancer_informed_at or deadline < self.exits_at

    async def drain_role(self):
        """Report not ready, serve the calls that still arrive, and return when none is in flight.

        Connections are accepted for as long as calls arrive: if many entries stop at once, the
        load balancer keeps sending to entries that are not ready.  Calls that are still in flight
        at the exit get their final answers before it.
        """
        options = self.settings.direct
        self.leaving = True
        takeout = min(options.takeout, options.grace / 2)
        self.balancer_informed_at = self.now() + takeout
        self.exits_at = self.now() + options.grace - GRACE_MARGIN_SECONDS
        self.time_limits.reschedule()
        self.peers.schedule_beacon(True)
        await asyncio.sleep(takeout)
        await self.wait_for_calls()
        await self.callers.stop_accepting()
        await self.callers.close_idle()
        # A call that was read just before may not have started yet.
        await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.wait_for_calls()
        await self.end_last_calls()

    async def wait_for_calls(self):
        """Wait until no call is in flight, or the calls in flight get their final answers."""
        while self.callers.in_flight and self.now() < self.exits_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def end_last_calls(self):
        """Wait until the final answers are sent and the memory of their calls is released.

        The number of polls is limited and not the time, since a process that is slow or was
        suspended may be late.
        """
        for _ in range(MAX_LAST_POLLS):
            if not self.callers.in_flight and not self.reservations.tasks:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop_role(self):
        """Close all sockets."""
        await self.callers.stop()
        await self.peers.stop()
        await self.client.stop()
        await self.adapter.stop()
        await self.status.stop()
