"""The entry daemon: request pipeline, links to endpoint daemons, state that the filters share."""

import asyncio

import attrs

from persimmonstall.burn import BurnRecorder
from persimmonstall.failures import Failure, Reason
from persimmonstall.membership import subset_of
from persimmonstall.messages import control

from ..claims import ClaimCleaner, ClaimFilter
from ..limits import Budgets, EntryPeers
from ..linked_daemon import LinkedDaemon
from ..membership import Membership
from ..observe import logs
from ..quarantine import FirstCopyGate, QuarantineFilter, QuarantineManager
from .dispatch import Dispatch
from .dispatch_by_size import DispatchBySize
from .exchange import Exchanges
from .filters.authenticate import find_organisation
from .links import EndpointLinks
from .long_prompts import LongDispatch
from .pipeline import Pipeline, make_filters

LOG = logs.get("entry")
DRAIN_POLL_SECONDS = 0.05
TICK_SECONDS = 1.0


@attrs.frozen
class Readiness:
    """Whether the load balancer should send new connections, and the reason if not."""

    ready: bool
    reason: str = ""


class EntryDaemon(LinkedDaemon):
    """State and services shared by the pipeline filters of one entry.

    `follower` holds the catalogue, `placer` chooses endpoints and `network` opens links.
    `stores` gives access to the platform's table and object store, `instances` to its list of
    instances.  `strict` raises an exception on a violated invariant.
    """

    def __init__(
        self,
        settings,
        network,
        context,
        metrics,
        follower,
        placer,
        tokeniser,
        stores,
        instances=None,
        strict=False,
    ):
        super().__init__(settings, network, context, metrics, follower, strict)
        self.placer = placer
        self.tokeniser = tokeniser
        self.exchanges = Exchanges(metrics)
        self.links = EndpointLinks(self)
        self.membership = Membership(settings, context, self.invariants, metrics, instances)
        self.membership.subscribe(self.on_members)
        self.burn = BurnRecorder(settings)
        self.peers = EntryPeers(self)
        self.budgets = Budgets(
            settings, context, self.invariants, metrics, self.entry_names, self.peers.send
        )
        self.claims = ClaimFilter(self, stores.table, stores.objects)
        self.claim_cleaner = ClaimCleaner(
            settings, stores.table, stores.objects, context, self.run_id
        )
        self.quarantine = QuarantineManager(self, stores.table, self.links.open_links)
        self.quarantine.register(self.control_handlers)
        self.quarantine_filter = QuarantineFilter(self, self.quarantine)
        self.first_copy_gate = FirstCopyGate()
        self.long_prompts = LongDispatch(self)
        by_size = DispatchBySize(Dispatch(self), self.long_prompts, self.long_prompts.planner)
        self.pipeline = Pipeline(make_filters(self), by_size)
        self.leaving = False
        self.active_requests = 0

    @property
    def catalogue(self):
        """The current catalogue."""
        return self.follower.current

    def hello(self):
        """Return the message that introduces this daemon on a new link."""
        daemon = self.settings.daemon
        return control.Hello(
            daemon.instance, daemon.role, daemon.data_centre, self.run_id, self.catalogue_version
        )

    def entry_names(self):
        """Return the names of the live entry instances."""
        return [instance.name for instance in self.membership.entries()]

    def on_members(self):
        """Link to this entry's subset of the endpoint daemons after a membership change."""
        view = self.membership.view
        daemons = view.known_instances("endpoint")
        size = self.settings.links.subset
        name = self.settings.daemon.instance
        entries = self.membership.entries()
        self.links.set(subset_of(name, entries, daemons, size, self.models_by_daemon(daemons)))

    def models_by_daemon(self, daemons):
        """Return the models placed on each endpoint daemon by instance name."""
        placements = self.catalogue.records["placement"]
        return {
            daemon.name: tuple(
                model
                for endpoint in daemon.endpoints
                if endpoint in placements
                for model in placements[endpoint].models
            )
            for daemon in daemons
        }

    async def start(self):
        """Accept links of other entries and start the background tasks."""
        await self.peers.start()
        for coroutine in (
            self.quarantine.run(),
            self.quarantine_filter.run(),
            self.claim_cleaner.run(),
        ):
            self.tasks.append(asyncio.create_task(coroutine))

    async def tick(self):
        """Apply drain marks, renew budgets, close idle links and drop old counts periodically.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(self.context.jitter(TICK_SECONDS))
            self.membership.on_drains(self.catalogue.records["drain"])
            self.budgets.tick(lambda name: self.catalogue.get("organisation", name))
            self.peers.tick()
            self.burn.evict(self.context.now())
            self.metrics.gauge("in_flight", self.active_requests)

    async def serve(self, request, sink):
        """Serve a `CallerRequest`; return its `Answer` or `Refusal`."""
        self.active_requests += 1
        try:
            return await self.pipeline.serve(request, sink)
        finally:
            self.active_requests -= 1

    def organisation_of(self, secret):
        """Return the organisation that an API key belongs to, or a `Refusal`."""
        return find_organisation(self, secret)

    def model_names(self, organisation):
        """Return the names of the models and adapters that `organisation` may use."""
        models = self.catalogue.records["model"]
        adapters = self.catalogue.records["adapter"]
        allowed = organisation.models or tuple(models)
        names = [name for name in allowed if name in models]
        return sorted(names + [name for name in organisation.adapters if name in adapters])

    def readiness(self):
        """Return the state of the readiness check."""
        if self.leaving:
            return Readiness(False, "leaving")
        if not self.follower.ready.is_set():
            return Readiness(False, "no current configuration yet")
        return Readiness(True)

    def place(self, work, avoided):
        """Return the `PlacementDecision` for the next attempt of `work`, or a `Failure`."""
        leaving = self.membership.view.leaving
        avoided = self.quarantine_filter.excluded_endpoints(work, frozenset(avoided), leaving)
        if isinstance(avoided, Failure):
            return avoided
        return self.placer.place(work, avoided, self.context.now())

    def retry_delay(self, work, reason, attempt):
        """Return the seconds to wait before retrying `work`, or None if it must not be retried."""
        return self.placer.retry_delay(work, reason, attempt, self.context.now())

    def remaining(self, work):
        """Return the seconds left before the deadline of `work`."""
        return work.deadline - self.context.now()

    def on_submit(self, work, placed):
        """Record an attempt that was sent."""
        self.placer.on_submit(work, placed, self.context.now())

    def first_token_timeout(self, work, placed):
        """Return the seconds to wait for the first token before trying another endpoint."""
        return self.placer.first_token_timeout(work, placed, self.context.now())

    def may_retry_late(self, work, endpoint):
        """Whether an attempt without a first token may be retried on another endpoint."""
        return self.placer.may_retry_late(work, endpoint, self.context.now())

    def on_first_token(self, work, endpoint):
        """Record the first token of an attempt."""
        self.first_copy_gate.record_first_token(work.fingerprint)
        self.placer.on_first_token(work, endpoint, self.context.now())

    def on_attempt_end(self, work, endpoint, result):
        """Record the result of an attempt."""
        self.placer.on_end(work, endpoint, result, self.context.now())
        if isinstance(result, Failure):
            self.metrics.count("attempts_failed", tag=str(Reason(result.reason)))

    def on_loads(self, instance, loads):
        """Update the loads of an instance's endpoints."""
        self.links.record_endpoints(instance, loads)
        self.long_prompts.planner.on_loads(loads)
        self.membership.on_loads(instance.name, loads)
        self.placer.on_loads(instance, loads, self.context.now())

    def on_hello(self, hello, link):
        """Withdraw presumed crashes of a daemon that reconnected; send it all verdicts."""
        names = [load.endpoint for load in hello.endpoints]
        self.quarantine.withdraw_presumed_crashes(names, hello.run)
        self.quarantine.send_all_verdicts(link)

    def on_leaving(self, instance, endpoints):
        """Stop placing work on endpoints that are leaving."""
        self.membership.on_leaving(instance.name, endpoints)
        self.placer.on_leaving(endpoints)

    def on_link_down(self, instance):
        """Stop placing work on the endpoints of an unreachable instance."""
        self.placer.on_link_down(instance.name)

    def bug(self, step, error):
        """Count and log an unexpected error."""
        self.metrics.count("bugs")
        LOG.error("bug", step=step, error=repr(error), exc_info=error)

    async def drain(self):
        """Fail the readiness check and wait until every request has ended.

        Requests are still accepted for `linger` seconds, until the load balancer has noticed.
        """
        self.leaving = True
        await self.membership.leave()
        await asyncio.sleep(self.settings.daemon.linger)
        while self.active_requests:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self):
        """Cancel the background tasks and close the links."""
        for task in self.tasks:
            task.cancel()
        await self.links.close()
        await self.peers.close()
