"""Exit codes of the command, by the reason of a failure."""

from persimmonstall.failures import Reason

SUCCESS = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
NOT_FOUND = 4
DENIED = 5
UNAVAILABLE = 6
UNKNOWN = 7
INTERRUPTED = 130

DESCRIPTIONS = {
    SUCCESS: "done",
    FAILED: "the call failed for another reason",
    USAGE: "wrong command line, settings file or value",
    CONFLICT: "the record is at another version than expected; nothing was changed",
    NOT_FOUND: "no such record",
    DENIED: "the operator's key is missing or wrong",
    UNAVAILABLE: "a daemon or the platform cannot be reached; nothing was changed",
    UNKNOWN: "outcome unknown: the change may have been made; repeat it with the same call id",
    INTERRUPTED: "interrupted",
}
"""Description of each exit code, for the help and the reference page."""

CODE_BY_REASON = {
    Reason.BAD_REQUEST: USAGE,
    Reason.CONFLICT: CONFLICT,
    Reason.KEY_CONFLICT: CONFLICT,
    Reason.NOT_FOUND: NOT_FOUND,
    Reason.UNAUTHENTICATED: DENIED,
    Reason.FORBIDDEN: DENIED,
    Reason.TABLE_DOWN: UNAVAILABLE,
    Reason.STORE_DOWN: UNAVAILABLE,
    Reason.PEER_LOST: UNAVAILABLE,
    Reason.AMBIGUOUS: UNKNOWN,
}


def exit_code_for(reason):
    """Return the exit code for a failure's reason.

    >>> exit_code_for(Reason.CONFLICT), exit_code_for(Reason.INTERNAL)
    (3, 1)
    """
    return CODE_BY_REASON.get(reason, FAILED)
