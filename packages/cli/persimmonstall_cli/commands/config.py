"""`config check`: the settings files before a daemon reads them."""

from persimmonstall.failures import Failure, Reason
from persimmonstall.settings import load

from ..command import Command
from ..report import Report


def check(call):
    """Check every FILE; list all problems."""
    problems = []
    for path in call.arguments:
        problems.extend(load(path)[1])
    if problems:
        detail = "\n".join(map(str, problems))
        return Failure(Reason.BAD_REQUEST, "config_check", detail=detail)
    rows = tuple((path, "ok") for path in call.arguments)
    return Report(("file", "result"), rows)


COMMANDS = (
    Command("config check", "Check settings files; name every problem.", check, ("FILE...",)),
)
