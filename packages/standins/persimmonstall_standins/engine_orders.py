"""Loaded models, adapters and role of the stand-in engine, and the orders that change them."""

import asyncio

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import Finish, OrderAction

from .engine_state import LogEntry

START_VERSION = "1"
"""Version of the models and adapters that an engine starts with."""


class Artifacts:
    """Models and adapters that one engine has loaded, as sets of (name, version) pairs.

    The load report names each both "name" and "name@version".
    """

    def __init__(self, engine, fetch=None):
        self.engine = engine
        self.fetch = fetch
        self.fence = 0
        self.loading = {}
        self.models = set()
        self.adapters = set()
        self.role = "mixed"

    def reset(self):
        """Restore the state of a started engine and cancel running loads."""
        settings = self.engine.settings
        for task in self.loading.values():
            task.cancel()
        self.loading = {}
        self.fence = 0
        self.models = {(name, START_VERSION) for name in settings.models}
        self.adapters = {(name, START_VERSION) for name in settings.adapters}
        self.role = "mixed"

    def serves(self, job):
        """Whether the engine can run `job` with what is loaded."""
        if not self.engine.settings.models and not self.models:
            return True
        if job.adapter and not any(name == job.adapter for name, _ in self.adapters):
            return False
        if job.version:
            return (job.model, job.version) in self.models
        return any(name == job.model for name, _ in self.models)

    def model_names(self):
        """Return the names of the loaded models as the load report has them."""
        return reported_names(self.models)

    def adapter_names(self):
        """Return the names of the loaded adapters as the load report has them."""
        return reported_names(self.adapters)

    def start_order(self, order):
        """Start an order; return True, a `Failure`, or the task that loads the artifact."""
        engine = self.engine
        if engine.settings.check_fence and order.fence < self.fence:
            return engine.failure("order", f"fence {order.fence}", Reason.STALE_FENCE)
        self.fence = max(self.fence, order.fence)
        detail = f"{order.action} {order.name}@{order.version} fence {order.fence}"
        engine.log.append(LogEntry(engine.now(), "ordered", detail=detail))
        if order.action is OrderAction.SET_ROLE:
            self.role = order.name
            engine.reports.record_load(force=True)
            return True
        artifact = (order.name, order.version)
        if order.action is OrderAction.LOAD_MODEL:
            return self.start_load(self.models, artifact, engine.settings.model_load)
        if order.action is OrderAction.LOAD_ADAPTER:
            return self.start_load(self.adapters, artifact, engine.settings.adapter_load)
        return self.unload(order.action, artifact)

    def start_load(self, loaded, artifact, seconds):
        """Return True if `artifact` is loaded, otherwise the task that loads it."""
        if artifact in loaded:
            return True
        task = self.loading.get(artifact)
        if not task:
            work = self.load(loaded, artifact, seconds)
            task = asyncio.get_running_loop().create_task(work)
            self.loading[artifact] = task
        return task

    async def load(self, loaded, artifact, seconds):
        """Fetch the artifact and load it, which takes modelled `seconds`."""
        try:
            if self.fetch:
                fetched = await self.fetch("@".join(artifact))
                if not fetched:
                    return fetched
            await asyncio.sleep(self.engine.loop_seconds(seconds))
            loaded.add(artifact)
            self.engine.reports.record_load(force=True)
            return True
        finally:
            self.loading.pop(artifact, None)

    def unload(self, action, artifact):
        """Unload an artifact and cancel the jobs that need it."""
        engine = self.engine
        loaded = self.models if action is OrderAction.UNLOAD_MODEL else self.adapters
        loaded.discard(artifact)
        orphans = [run for run in engine.runs.values() if not self.serves(run.job)]
        if orphans:
            engine.reports.publish(
                [engine.job_table.finish(run, Finish.CANCELLED) for run in orphans]
            )
        engine.reports.record_load(force=True)
        return True


def reported_names(artifacts):
    """Return the sorted "name" and "name@version" of (name, version) pairs.

    >>> reported_names({("chat", "2")})
    ('chat', 'chat@2')
    """
    names = {name for name, _ in artifacts}
    return tuple(sorted(names | {f"{name}@{version}" for name, version in artifacts}))
