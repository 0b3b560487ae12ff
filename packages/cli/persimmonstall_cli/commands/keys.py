"""`operator hash`: the line of an operators' key file."""

import secrets

from persimmonstall_daemon.admin.operators import hash_key

from ..command import Command
from ..report import fields

KEY_BYTES = 32


def new_key(_call):
    """Make an operator's key and the line for the daemons' file of hashes."""
    key = "op-" + secrets.token_urlsafe(KEY_BYTES)
    note = "Put the hash into the file that [security] operator_keys names; keep the key."
    return fields({"key": key, "hash": hash_key(key)}, note)


COMMANDS = (Command("operator new_key", "Make an operator's key and its hash.", new_key),)
