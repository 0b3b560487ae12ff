"""`operator new_key`: creates an operator's key and its hash."""

import secrets

from persimmonstall_daemon.admin.operators import hash_key

from ..command import Command
from ..report import name_value_report

KEY_BYTES = 32


def create_operator_key(_invocation):
    """Create an operator's key and the line for the daemons' file of key hashes."""
    key = "op-" + secrets.token_urlsafe(KEY_BYTES)
    note = "Add the hash to the file named by operator_keys in [security]; store the key safely."
    return name_value_report({"key": key, "hash": hash_key(key)}, note)


COMMANDS = (
    Command("operator new_key", "Create an operator's key and its hash.", create_operator_key),
)
