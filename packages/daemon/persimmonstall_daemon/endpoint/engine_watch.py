"""Reads what an engine sends and notices when it is silent, dead or started anew."""

import asyncio
import contextlib

import attrs

REOPEN_SECONDS = 0.2


@attrs.frozen
class StepsLost:
    """The connection that brings the engine's steps ended or went silent."""

    detail: str


@attrs.frozen
class JobsSeen:
    """The engine's own list of jobs after a lost connection, and what it should have."""

    expected: frozenset
    present: frozenset


@attrs.frozen
class EngineDied:
    """The engine does not answer on a new connection either."""

    detail: str


class EngineWatch:
    """Tasks that read one engine and post what they see to its `backend`."""

    def __init__(self, backend):
        self.backend = backend
        self.engine = backend.engine
        self.reader = None

    @property
    def silence(self):
        """Time after which a silent engine is taken for dead, in seconds."""
        return self.backend.settings.endpoints.step_silence

    def start(self):
        """Start reading."""
        self.reader = self.backend.spawn(self.read_steps())
        self.backend.spawn(self.read_cache_events())
        self.backend.spawn(self.run())

    def reopen(self):
        """Open a new connection for the steps and ask whether the engine is still there."""
        self.backend.spawn(self.probe())
        if self.reader:
            self.reader.cancel()
        self.reader = self.backend.spawn(self.read_again())

    async def pause(self, seconds):
        """Wait for about `seconds`."""
        await asyncio.sleep(self.backend.daemon.context.jitter(seconds))

    async def read_steps(self):
        """Post the engine's steps until their connection is lost."""
        try:
            async for step in self.engine.steps():
                self.backend.post(step)
        except OSError as error:
            self.backend.post(StepsLost(str(error)))
            return
        self.backend.post(StepsLost("ended"))

    async def read_again(self):
        """Read steps again after a short pause."""
        await self.pause(REOPEN_SECONDS)
        expected = frozenset(one.job_id for one in self.backend.running())
        self.backend.spawn(self.look_for_jobs(expected))
        await self.read_steps()

    async def read_cache_events(self):
        """Post the engine's cache events, over a new connection whenever one is lost."""
        while True:
            with contextlib.suppress(OSError):
                async for event in self.engine.cache_events():
                    self.backend.post(event)
            await self.pause(REOPEN_SECONDS)

    async def run(self):
        """Poll the engine's load and notice when its steps go silent."""
        while True:
            await self.probe()
            await self.pause(self.silence / 3)

    async def probe(self):
        """Ask for the engine's load once, and post what that shows."""
        backend = self.backend
        load = await self.engine.load(self.silence / 2)
        if load:
            backend.post(load)
        silent = backend.now() - backend.last_step > self.silence
        if silent and backend.running():
            backend.post(StepsLost("silent"))
        if not load and (silent or load.detail == "not connected"):
            backend.post(EngineDied(load.detail))

    async def look_for_jobs(self, expected):
        """Post which jobs the engine still has."""
        jobs = await self.engine.jobs(self.silence / 2)
        if isinstance(jobs, tuple):
            self.backend.post(JobsSeen(expected, frozenset(job.job_id for job in jobs)))
