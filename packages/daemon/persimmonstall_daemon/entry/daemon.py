"""The entry daemon: pipeline, links to endpoint daemons and what the filters share."""

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
from .exchange import Exchanges
from .filters.authenticate import find_organisation
from .links import EndpointLinks
from .long_prompts import DispatchBySize, LongDispatch
from .pipeline import Pipeline, make_filters

LOG = logs.get("entry")
DRAIN_POLL_SECONDS = 0.05
TICK_SECONDS = 1.0


@attrs.frozen
class Readiness:
    """Whether this entry should get new connections, and why not."""

    ready: bool
    reason: str = ""


class EntryDaemon(LinkedDaemon):
    """What the filters of one entry share.

    `follower` holds the catalogue, `placer` chooses endpoints, `network` opens links,
    `stores` the platform's table and object store, `instances` its list; `strict` raises on
    a violated invariant.
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
        self.cleaner = ClaimCleaner(settings, stores.table, stores.objects, context, self.run_id)
        self.quarantine = QuarantineManager(
            settings,
            stores.table,
            context,
            metrics,
            self.invariants,
            follower,
            self.links.linked,
            self.run_id,
        )
        self.quarantine.register(self.control_handlers)
        self.suspects = QuarantineFilter(self, self.quarantine)
        self.first_copy_gate = FirstCopyGate()
        self.long_prompts = LongDispatch(self)
        by_size = DispatchBySize(Dispatch(self), self.long_prompts)
        self.pipeline = Pipeline(make_filters(self), by_size)
        self.leaving = False
        self.active = 0

    @property
    def catalogue(self):
        """The catalogue in force here."""
        return self.follower.current

    def hello(self):
        """Return the first message on a link."""
        daemon = self.settings.daemon
        return control.Hello(
            daemon.instance, daemon.role, daemon.data_centre, self.run_id, self.version
        )

    def entry_names(self):
        """Return the names of the live entries."""
        return [instance.name for instance in self.membership.entries()]

    def on_members(self):
        """Keep links to this entry's subset of the endpoint daemons."""
        view = self.membership.view
        daemons = view.known_instances("endpoint")
        size = self.settings.links.subset
        name = self.settings.daemon.instance
        entries = self.membership.entries()
        self.links.set(subset_of(name, entries, daemons, size, self.served_by(daemons)))

    def served_by(self, daemons):
        """Return what each endpoint instance serves by the catalogue, as a dict of tuples."""
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
        """Accept links of other entries and keep up with the quarantine."""
        await self.peers.start()
        for coroutine in (self.quarantine.run(), self.suspects.run(), self.cleaner.run()):
            self.tasks.append(asyncio.create_task(coroutine))

    async def tick(self):
        """Renew budgets, close idle links and take over drain marks until cancelled."""
        while True:
            await asyncio.sleep(self.context.jitter(TICK_SECONDS))
            self.membership.on_drains(self.catalogue.records["drain"])
            self.budgets.tick(lambda name: self.catalogue.get("organisation", name))
            self.peers.tick()
            self.burn.evict(self.context.now())
            self.metrics.gauge("in_flight", self.active)

    async def serve(self, request, sink):
        """Return the `Answer` or `Refusal` of a `CallerRequest`."""
        self.active += 1
        try:
            return await self.pipeline.serve(request, sink)
        finally:
            self.active -= 1

    def organisation_of(self, secret):
        """Return the organisation of a caller's key, or a `Refusal`."""
        return find_organisation(self, secret)

    def model_names(self, organisation):
        """Return the names of the models and adapters that `organisation` may use."""
        models = self.catalogue.records["model"]
        adapters = self.catalogue.records["adapter"]
        allowed = organisation.models or tuple(models)
        names = [name for name in allowed if name in models]
        return sorted(names + [name for name in organisation.adapters if name in adapters])

    def readiness(self):
        """Return whether new connections should come here."""
        if self.leaving:
            return Readiness(False, "leaving")
        if not self.follower.ready.is_set():
            return Readiness(False, "no current configuration yet")
        return Readiness(True)

    def place(self, work, avoided):
        """Return where the next attempt of `work` goes, or a `Failure`."""
        leaving = self.membership.view.leaving
        avoided = self.suspects.excluded_endpoints(work, frozenset(avoided), leaving)
        if isinstance(avoided, Failure):
            return avoided
        return self.placer.place(work, avoided, self.context.now())

    def retry_delay(self, work, reason, attempt):
        """Return the seconds before another attempt of `work`, or None for no other one."""
        return self.placer.retry_delay(work, reason, attempt, self.context.now())

    def on_submit(self, work, placed):
        """Note an attempt that was sent."""
        self.placer.on_submit(work, placed, self.context.now())

    def first_token_timeout(self, work, placed):
        """Return the seconds to wait for a first token before going elsewhere."""
        return self.placer.first_token_timeout(work, placed, self.context.now())

    def may_retry_late(self, work, endpoint):
        """Whether work whose first token is late may be attempted elsewhere."""
        return self.placer.may_retry_late(work, endpoint, self.context.now())

    def on_first_token(self, work, endpoint):
        """Note the first output of an attempt."""
        self.first_copy_gate.record_first_token(work.fingerprint)
        self.placer.on_first_token(work, endpoint, self.context.now())

    def on_attempt_end(self, work, endpoint, result):
        """Note the end of an attempt."""
        self.placer.on_end(work, endpoint, result, self.context.now())
        if isinstance(result, Failure):
            self.metrics.count("attempts_failed", tag=str(Reason(result.reason)))

    def on_loads(self, instance, loads):
        """Take fresh loads of an instance's endpoints."""
        self.links.learn(instance, loads)
        self.long_prompts.on_loads(loads)
        self.membership.on_loads(instance.name, loads)
        self.placer.on_loads(instance, loads, self.context.now())

    def on_hello(self, hello, link):
        """Tell a daemon that introduced itself what it should know; it is alive."""
        names = [load.endpoint for load in hello.endpoints]
        self.quarantine.withdraw_presumed_crashes(names, hello.run)
        self.quarantine.send_all_verdicts(link)

    def on_leaving(self, instance, endpoints):
        """Stop placing work on endpoints that are leaving."""
        self.membership.on_leaving(instance.name, endpoints)
        self.placer.on_leaving(endpoints)

    def on_link_down(self, instance):
        """Stop placing work behind an instance that is out of reach."""
        self.placer.on_link_down(instance.name)

    def bug(self, step, error):
        """Count and log an unexpected error."""
        self.metrics.count("bugs")
        LOG.error("bug", step=step, error=repr(error), exc_info=error)

    async def drain(self):
        """Fail the readiness check and wait until every request has ended.

        Requests are still taken for a while, until the balancer has noticed.
        """
        self.leaving = True
        await self.membership.leave()
        await asyncio.sleep(self.settings.daemon.linger)
        while self.active:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self):
        """End the tasks and the links."""
        for task in self.tasks:
            task.cancel()
        await self.links.close()
        await self.peers.close()
