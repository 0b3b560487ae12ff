"""The visible list of all subcommands; a new group is a module and a line here."""

from . import config, fleet, keys, organisations, records

GROUPS = (
    config,
    fleet,
    organisations,
    records,
    keys,
)

COMMANDS = tuple(command for group in GROUPS for command in group.COMMANDS)
