"""The `persimmonstall` command: finds the subcommand, runs it and prints what it returns."""

import sys

import orjson

from persimmonstall.failures import Failure

from .command import PROGRAM, find_command, flag_help, parse
from .commands import COMMANDS
from .exits import DESCRIPTIONS, INTERRUPTED, SUCCESS, USAGE, exit_code_for
from .report import Report, render


def overview():
    """Return the help text: usage, commands and exit codes."""
    width = max(len(command.name) for command in COMMANDS)
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENTS] [--flags]", "", "commands:"]
    lines += [f"  {command.name:{width}}  {command.description}" for command in COMMANDS]
    lines += ["", f"`{PROGRAM} COMMAND --help` lists the command's flags.", "", "exit codes:"]
    lines += [f"  {code:3}  {description}" for code, description in DESCRIPTIONS.items()]
    return "\n".join(lines)


def main(arguments):
    """Run a command line, given without the program's name; return the exit code."""
    if not arguments or arguments[0] in ("help", "--help", "-h"):
        print(overview())
        return SUCCESS if arguments else USAGE
    words = [word for word in arguments if not word.startswith("-")]
    command = find_command(words or [arguments[0]], COMMANDS)
    if not command:
        return fail(command, "--json" in arguments)
    if "--help" in arguments:
        print(flag_help(command))
        return SUCCESS
    invocation = parse(command, remove_words(arguments, command.name.split()))
    if not invocation:
        return fail(invocation, "--json" in arguments)
    return show(command.handler(invocation), invocation.flags.json)


def remove_words(arguments, words):
    """Return `arguments` without the first occurrence of each of `words`.

    >>> remove_words(["--json", "model", "show", "show"], ["model", "show"])
    ['--json', 'show']
    """
    rest = list(arguments)
    for word in words:
        rest.remove(word)
    return rest


def show(result, json):
    """Print what a handler returned and return the exit code.

    `result` is a `Report`, an iterator of reports, or a `Failure`.
    """
    if isinstance(result, Failure):
        return fail(result, json)
    if isinstance(result, Report):
        print(render(result, json))
        return SUCCESS
    for report in result:
        if isinstance(report, Failure):
            return fail(report, json)
        print(render(report, json), flush=True)
    return SUCCESS


def fail(failure, json):
    """Print a failure to standard error and return its exit code."""
    if json:
        body = {
            "reason": failure.reason,
            "step": failure.step,
            "peer": failure.peer,
            "detail": failure.detail,
        }
        print(orjson.dumps({"error": body}).decode(), file=sys.stderr)
    else:
        location = failure.step + (f" at {failure.peer}" if failure.peer else "")
        print(f"{PROGRAM}: {failure.reason} ({location}): {failure.detail}", file=sys.stderr)
    return exit_code_for(failure.reason)


def run():
    """Run the command line in `sys.argv` and exit with its code."""
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(SUCCESS)


if __name__ == "__main__":
    run()
