"""Reads an engine's output streams and detects when it is silent, dead or restarted."""

import asyncio
import contextlib

import attrs

REOPEN_SECONDS = 0.2
"""Mean delay before a lost connection is opened again."""


@attrs.frozen
class StepsLost:
    """The connection that carries the engine's steps was closed or went silent."""

    detail: str


@attrs.frozen
class JobsListed:
    """Jobs that the engine should have and those that it reports, after a lost connection."""

    expected: frozenset
    present: frozenset


@attrs.frozen
class EngineDied:
    """The engine does not answer on a new connection either."""

    detail: str


class EngineWatch:
    """Tasks that read from one engine and post what they receive to its `backend`.

    `last_load_at` is the time of the engine's last load report.
    """

    def __init__(self, backend):
        self.backend = backend
        self.engine = backend.engine
        self.reader = None
        self.last_load_at = backend.now()

    @property
    def silence(self):
        """Time without steps after which an engine counts as silent, in seconds."""
        return self.backend.settings.endpoints.step_silence

    def start(self):
        """Start the tasks."""
        self.reader = self.backend.spawn(self.read_steps())
        self.backend.spawn(self.read_cache_events())
        self.backend.spawn(self.run())

    def reopen(self):
        """Open a new connection for the steps and check whether the engine is alive."""
        self.backend.spawn(self.probe())
        if self.reader:
            self.reader.cancel()
        self.reader = self.backend.spawn(self.reconnect())

    async def pause(self, seconds):
        """Sleep for `seconds` with jitter."""
        await asyncio.sleep(self.backend.daemon.context.jitter(seconds))

    async def read_steps(self):
        """Post the engine's steps to the back end; post `StepsLost` once their connection ends."""
        try:
            async for step in self.engine.steps():
                self.backend.post(step)
        except OSError as error:
            self.backend.post(StepsLost(str(error)))
            return
        self.backend.post(StepsLost("ended"))

    async def reconnect(self):
        """After a short delay, request the engine's list of jobs and read its steps again."""
        await self.pause(REOPEN_SECONDS)
        expected = frozenset(one.job_id for one in self.backend.running())
        self.backend.spawn(self.list_jobs(expected))
        await self.read_steps()

    async def read_cache_events(self):
        """Post the engine's cache events; reconnect whenever the connection is lost."""
        while True:
            with contextlib.suppress(OSError):
                async for event in self.engine.cache_events():
                    self.backend.post(event)
            await self.pause(REOPEN_SECONDS)

    async def run(self):
        """Poll the engine's load and detect when its steps go silent."""
        while True:
            await self.probe()
            await self.pause(self.silence / 3)

    async def probe(self):
        """Request the engine's load once; post the load, lost steps or a dead engine."""
        backend = self.backend
        load = await self.engine.load(self.silence / 2)
        now = backend.now()
        if load:
            self.last_load_at = now
            backend.post(load)
        if now - backend.last_step_at > self.silence and backend.running():
            backend.post(StepsLost("silent"))
        silent = now - max(backend.last_step_at, self.last_load_at) > self.silence
        if not load and (silent or load.detail == "not connected"):
            backend.post(EngineDied(load.detail))

    async def list_jobs(self, expected):
        """Post the list of jobs that the engine still has."""
        jobs = await self.engine.jobs(self.silence / 2)
        if isinstance(jobs, tuple):
            self.backend.post(JobsListed(expected, frozenset(job.job_id for job in jobs)))
