"""Process that runs the four platform services, each on its own port.

Usage: python -m persimmonstall_standins.platform --table-port 7101 ...
"""

import asyncio

import uvloop
from absl import app, flags

from persimmonstall_daemon.adapters import wire

from .http_server import StandInServer, listen
from .instances import MemoryInstances
from .objects import MemoryObjects
from .table import MemoryTable
from .weights import MemoryWeights, WeightLimits

flags.DEFINE_integer("table_port", 7101, "Port of the table service.")
flags.DEFINE_integer("objects_port", 7102, "Port of the object store.")
flags.DEFINE_integer("instances_port", 7103, "Port of the instance list.")
flags.DEFINE_integer("weights_port", 7104, "Port of the weight store.")
flags.DEFINE_integer("weight_grants", 2, "Fetches that the weight store allows at once.")
flags.DEFINE_float("list_lag", 2.0, "Lag of the instance list in seconds.")
flags.DEFINE_float("list_expiry", 10.0, "Time after which a silent instance leaves the list.")


async def serve(options):
    """Serve table, objects, instance list and weights until the process is stopped."""
    instances = MemoryInstances(options.list_lag, options.list_expiry)
    weights = MemoryWeights(WeightLimits(grants=options.weight_grants))
    leaving_actions = ("mark_leaving", "remove")
    await listen(StandInServer(MemoryTable(), wire.TABLE).application(), options.table_port)
    await listen(StandInServer(MemoryObjects(), wire.OBJECTS).application(), options.objects_port)
    instances_server = StandInServer(instances, wire.INSTANCES, leaving_actions)
    await listen(instances_server.application(), options.instances_port)
    await listen(StandInServer(weights, wire.WEIGHTS).application(), options.weights_port)
    await asyncio.Event().wait()


def main(_arguments):
    """Run the process."""
    uvloop.install()
    asyncio.run(serve(flags.FLAGS))


def run():
    """Parse the flags and run the process; flag names may have dashes for underscores."""
    app.run(main, flags_parser=parse_flags)


def parse_flags(arguments):
    """Parse the flags and return the remaining arguments."""
    return flags.FLAGS([normalise_flag(argument) for argument in arguments])


def normalise_flag(argument):
    """Return `argument` with the dashes in the name of its flag replaced by underscores.

    >>> normalise_flag("--table-port=7101")
    '--table_port=7101'
    """
    if not argument.startswith("--"):
        return argument
    name, sign, value = argument.partition("=")
    return "--" + name[2:].replace("-", "_") + sign + value


if __name__ == "__main__":
    run()
