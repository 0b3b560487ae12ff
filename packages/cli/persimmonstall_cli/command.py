"""What a subcommand is: a name, its flags and a thin handler."""

import difflib

import attrs
from absl import flags

from persimmonstall.failures import Failure, Reason

PROGRAM = "persimmonstall"


@attrs.frozen
class Command:
    """One subcommand.

    `name` may have several words.  `define(values)` defines the command's own flags in an
    absl `FlagValues`.  `handler(call)` returns a report, an iterator of reports, or a
    `Failure`; `arguments` names the positional arguments, the last with "..." for many.
    """

    name: str
    meaning: str
    handler: object
    arguments: tuple[str, ...] = ()
    define: object = None

    @property
    def usage(self):
        """The command line in short.

        >>> Command("model show", "Show a model.", None, ("NAME",)).usage
        'persimmonstall model show NAME'
        """
        return " ".join((PROGRAM, self.name, *self.arguments))


@attrs.frozen
class Call:
    """One invocation: the command, its parsed flags and its positional arguments."""

    command: Command
    flags: flags.FlagValues
    arguments: tuple[str, ...]


def usage_failure(detail):
    """Return the failure of a command line that is wrong."""
    return Failure(Reason.BAD_REQUEST, "command_line", detail=detail)


def find(words, commands):
    """Return the command that `words` begin with, or a `Failure` that names the nearest.

    >>> show = Command("model show", "", None)
    >>> find(["model", "shwo", "m"], [show]).detail
    'no command "model shwo"; did you mean "model show"?'
    """
    by_name = {command.name: command for command in commands}
    longest = max((len(name.split()) for name in by_name), default=0)
    for count in range(min(longest, len(words)), 0, -1):
        found = by_name.get(" ".join(words[:count]))
        if found:
            return found
    return unknown(words, by_name)


def unknown(words, by_name):
    """Return the failure for words that name no command."""
    tried = " ".join(words[:2])
    close = difflib.get_close_matches(tried, by_name, 1, 0.5)
    close = close or difflib.get_close_matches(words[0], by_name, 1, 0.5)
    inside = [name for name in by_name if name.split()[0] == words[0]]
    if close:
        return usage_failure(f'no command "{tried}"; did you mean "{close[0]}"?')
    if inside:
        return usage_failure(f'no command "{tried}"; there are: ' + ", ".join(inside))
    return usage_failure(f'no command "{tried}"; `{PROGRAM} help` lists them')


def parse(command, words):
    """Return the `Call` of `words` after the command's name, or a `Failure`."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    define_common(values)
    if command.define:
        command.define(values)
    try:
        rest = values([PROGRAM, *words])[1:]
    except flags.Error as error:
        return usage_failure(str(error))
    if not fits(command.arguments, rest):
        return usage_failure("usage: " + command.usage)
    return Call(command, values, tuple(rest))


def fits(expected, given):
    """Return whether the positional arguments are as many as expected.

    >>> fits(("FILE...",), ["a", "b"]), fits(("NAME",), [])
    (True, False)
    """
    if expected and expected[-1].endswith("..."):
        return len(given) >= len(expected)
    return len(given) == len(expected)


def define_common(values):
    """Define the flags that every command takes."""
    flags.DEFINE_boolean("json", False, "Print JSON instead of a table.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Show the command's flags.", flag_values=values)
    flags.DEFINE_float("timeout", 10.0, "Time for one call, in seconds.", flag_values=values)
    flags.DEFINE_string(
        "server", None, "IP:port of an entry's operators' port.", flag_values=values
    )
    flags.DEFINE_string("key_file", None, "File with the operator's key.", flag_values=values)
    flags.DEFINE_string(
        "authority", None, "PEM authority of the server's certificate.", flag_values=values
    )
    flags.DEFINE_boolean(
        "plaintext", False, "Allow an unencrypted call to another machine.", flag_values=values
    )


def flag_help(command):
    """Return the description of a command and its flags."""
    values = flags.FlagValues()
    define_common(values)
    if command.define:
        command.define(values)
    lines = [command.usage, "", command.meaning, "", "flags:"]
    for name in sorted(values):
        flag = values[name]
        lines.append(f"  --{name}: {flag.help} (default: {flag.default_as_str or 'none'})")
    return "\n".join(lines)
