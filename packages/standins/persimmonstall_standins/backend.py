"""Process that runs one back end: a model engine or a plain service.

Usage: python -m persimmonstall_standins.backend --kind engine --port 7201 --speed 20
"""

import asyncio

import uvloop
from absl import app, flags

from .engine import EngineModel
from .engine_state import EngineSettings
from .http_server import EngineServer, ServiceServer, listen
from .platform import parse_flags
from .service import ServiceModel, ServiceSettings

RESTART_POLL = 0.05
"""Interval between checks whether the engine has died, in seconds."""

flags.DEFINE_enum("kind", "engine", ("engine", "service"), "Kind of back end.")
flags.DEFINE_integer("port", 7201, "Port of the back end.")
flags.DEFINE_string("name", "e1", "Name of the back end in its failures.")
flags.DEFINE_float("speed", 1.0, "Factor by which the modelled time runs faster.")
flags.DEFINE_list("models", [], "Models loaded at start; none accepts any.")
flags.DEFINE_list("adapters", [], "Adapters loaded at start.")
flags.DEFINE_bool("check_fence", True, "Refuse orders with an old fencing number.")
flags.DEFINE_integer("memory", 400_000, "KV memory in tokens.")
flags.DEFINE_integer("capacity", 8, "Calls that a service runs at once.")
flags.DEFINE_float("mean_seconds", 0.05, "Mean time of a service's call.")
flags.DEFINE_float("restart_after", 2.0, "Seconds after which a dead engine restarts; 0: never.")


async def serve(options):
    """Serve the back end until the process is stopped."""
    make = serve_engine if options.kind == "engine" else serve_service
    await make(options)
    await asyncio.Event().wait()


async def serve_engine(options):
    """Serve a model engine."""
    settings = EngineSettings(
        memory=options.memory,
        models=tuple(options.models),
        adapters=tuple(options.adapters),
        check_fence=options.check_fence,
        seed=options.port,
    )
    engine = EngineModel(options.name, settings, speed=options.speed)
    await listen(EngineServer(engine).application(), options.port)
    if options.restart_after:
        await restart_when_dead(engine, options.restart_after)


async def serve_service(options):
    """Serve a plain service."""
    settings = ServiceSettings(
        capacity=options.capacity, mean_seconds=options.mean_seconds, seed=options.port
    )
    service = ServiceModel(options.name, settings, speed=options.speed)
    await listen(ServiceServer(service).application(), options.port)


async def restart_when_dead(engine, seconds):
    """Restart the engine `seconds` after each death, as a supervisor does."""
    while True:
        await asyncio.sleep(RESTART_POLL)
        if engine.dead:
            await asyncio.sleep(seconds)
            engine.restart()


def main(_arguments):
    """Run the process."""
    uvloop.install()
    asyncio.run(serve(flags.FLAGS))


if __name__ == "__main__":
    app.run(main, flags_parser=parse_flags)
