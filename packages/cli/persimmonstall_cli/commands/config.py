"""`config check`: validates settings files."""

from persimmonstall.failures import Failure, Reason
from persimmonstall.settings import load

from ..command import Command
from ..report import Report


def check(invocation):
    """Check every FILE and report all problems."""
    problems = []
    for path in invocation.arguments:
        problems.extend(load(path)[1])
    if problems:
        detail = "\n".join(map(str, problems))
        return Failure(Reason.BAD_REQUEST, "config_check", detail=detail)
    rows = tuple((path, "ok") for path in invocation.arguments)
    return Report(("file", "result"), rows)


COMMANDS = (
    Command("config check", "Check settings files and report every problem.", check, ("FILE...",)),
)
