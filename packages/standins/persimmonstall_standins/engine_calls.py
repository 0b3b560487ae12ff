"""Latency and call faults of the stand-in engine."""

import asyncio


class Calls:
    """Executes the calls to one engine, subject to its current faults.

    `deferred` holds the calls received while the engine is frozen.
    """

    def __init__(self, engine):
        self.engine = engine
        self.deferred = []

    async def run(self, step, effect, timeout):
        """Call `effect` after the latency and return its result, subject to the current faults."""
        engine = self.engine
        if engine.dead:
            return engine.failure(step, "not connected")
        await asyncio.sleep(engine.loop_seconds(engine.settings.latency))
        if engine.dead:
            return engine.failure(step, "not connected")
        if engine.frozen:
            return await self.run_after_thaw(step, effect, timeout)
        result = effect()
        if not engine.faults.lose_answers:
            return result
        await asyncio.sleep(timeout)
        return engine.failure(step, "timeout")

    async def run_after_thaw(self, step, effect, timeout):
        """Defer `effect` until the thaw; after `timeout` its result is dropped."""
        answer = asyncio.get_running_loop().create_future()
        self.deferred.append((effect, answer))
        await asyncio.wait([answer], timeout=timeout)
        return answer.result() if answer.done() else self.engine.failure(step, "timeout")

    def run_deferred(self):
        """Execute the calls that were received while the engine was frozen."""
        deferred, self.deferred = self.deferred, []
        for effect, answer in deferred:
            result = effect()
            if not answer.done():
                answer.set_result(result)
