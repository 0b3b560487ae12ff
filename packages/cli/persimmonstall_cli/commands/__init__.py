"""All subcommands. To add a group of commands, write a module and list it in GROUPS."""

from . import burn, calls, config, fleet, keys, load, organisations, records

GROUPS = (
    config,
    fleet,
    organisations,
    records,
    keys,
    burn,
    load,
    calls,
)

COMMANDS = tuple(command for group in GROUPS for command in group.COMMANDS)
