"""Definition, look-up and command-line parsing of subcommands."""

import difflib

import attrs
from absl import flags

from persimmonstall.failures import Failure, Reason

PROGRAM = "persimmonstall"


@attrs.frozen
class Command:
    """One subcommand.

    `name` may have several words. `define_flags(values)` defines the command's own flags in an
    absl `FlagValues`. `handler(invocation)` returns a `Report`, an iterator of reports, or a
    `Failure`. `arguments` names the positional arguments; a last one that ends in "..." may
    be given several times.
    """

    name: str
    description: str
    handler: object
    arguments: tuple[str, ...] = ()
    define_flags: object = None

    @property
    def usage(self):
        """Usage line of the command.

        >>> Command("model show", "Show a model.", None, ("NAME",)).usage
        'persimmonstall model show NAME'
        """
        return " ".join((PROGRAM, self.name, *self.arguments))


@attrs.frozen
class Invocation:
    """A parsed command line: the command, its flags and its positional arguments."""

    command: Command
    flags: flags.FlagValues
    arguments: tuple[str, ...]


def usage_failure(detail):
    """Return the `Failure` for an invalid command line."""
    return Failure(Reason.BAD_REQUEST, "command_line", detail=detail)


def find_command(words, commands):
    """Return the command whose name `words` start with, or a `Failure` with a suggestion.

    >>> show = Command("model show", "", None)
    >>> find_command(["model", "shwo", "m"], [show]).detail
    'no command "model shwo"; did you mean "model show"?'
    """
    by_name = {command.name: command for command in commands}
    longest = max((len(name.split()) for name in by_name), default=0)
    for count in range(min(longest, len(words)), 0, -1):
        found = by_name.get(" ".join(words[:count]))
        if found:
            return found
    return unknown_command(words, by_name)


def unknown_command(words, by_name):
    """Return the `Failure` for an unknown command, with the closest or related names."""
    tried = " ".join(words[:2])
    close = difflib.get_close_matches(tried, by_name, 1, 0.5)
    close = close or difflib.get_close_matches(words[0], by_name, 1, 0.5)
    siblings = [name for name in by_name if name.split()[0] == words[0]]
    if close:
        return usage_failure(f'no command "{tried}"; did you mean "{close[0]}"?')
    if siblings:
        return usage_failure(f'no command "{tried}"; there are: ' + ", ".join(siblings))
    return usage_failure(f'no command "{tried}"; `{PROGRAM} help` lists them')


def parse(command, words):
    """Parse the arguments after the command's name; return an `Invocation` or a `Failure`."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    define_common_flags(values)
    if command.define_flags:
        command.define_flags(values)
    try:
        rest = values([PROGRAM, *words])[1:]
    except flags.Error as error:
        return usage_failure(str(error))
    if not argument_count_matches(command.arguments, rest):
        return usage_failure("usage: " + command.usage)
    return Invocation(command, values, tuple(rest))


def argument_count_matches(expected, given):
    """Return whether the number of positional arguments is as expected.

    >>> argument_count_matches(("FILE...",), ["a", "b"]), argument_count_matches(("NAME",), [])
    (True, False)
    """
    if expected and expected[-1].endswith("..."):
        return len(given) >= len(expected)
    return len(given) == len(expected)


def define_common_flags(values):
    """Define the flags that every command takes."""
    flags.DEFINE_boolean("json", False, "Print JSON instead of a table.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Show the command's flags.", flag_values=values)
    flags.DEFINE_float("timeout", 10.0, "Timeout of one call, in seconds.", flag_values=values)
    flags.DEFINE_string(
        "server", None, "Operators' port of an entry, as IP:port.", flag_values=values
    )
    flags.DEFINE_string("key_file", None, "File with the operator's key.", flag_values=values)
    flags.DEFINE_string(
        "authority",
        None,
        "PEM file with the CA certificate that the server's is checked against.",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "plaintext", False, "Allow an unencrypted call to another machine.", flag_values=values
    )


def flag_help(command):
    """Return the help text of a command and its flags."""
    values = flags.FlagValues()
    define_common_flags(values)
    if command.define_flags:
        command.define_flags(values)
    lines = [command.usage, "", command.description, "", "flags:"]
    for name in sorted(values):
        flag = values[name]
        lines.append(f"  --{name}: {flag.help} (default: {flag.default_as_str or 'none'})")
    return "\n".join(lines)
