"""The visible list of all subcommands; a new group is a module and a line here."""

from . import burn, config, fleet, keys, load, organisations, records

GROUPS = (
    config,
    fleet,
    organisations,
    records,
    keys,
    burn,
    load,
)

COMMANDS = tuple(command for group in GROUPS for command in group.COMMANDS)
