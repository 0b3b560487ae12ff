"""Loading and checking of the settings file."""

import configparser
import difflib
import os

import attrs

from .option import describe_allowed
from .schema import SECTIONS, Settings

TRUE_WORDS = frozenset(("yes", "true", "on", "1"))
FALSE_WORDS = frozenset(("no", "false", "off", "0"))


@attrs.frozen
class Problem:
    """One problem in a settings file."""

    file: str
    section: str
    option: str
    message: str

    def __str__(self):
        place = f" [{self.section}]" if self.section else ""
        name = f" {self.option}" if self.option else ""
        separator = ":" if place else ""
        return f"{self.file}:{place}{name}{separator} {self.message}"


def similar_name_hint(name, names):
    """Return a hint with the most similar of `names`, or an empty string.

    >>> similar_name_hint("enrty", ["entry", "table"])
    '; did you mean entry?'
    """
    found = difflib.get_close_matches(name, names, 1)
    return f"; did you mean {found[0]}?" if found else ""


def convert(field, text):
    """Return an option's value; raises ValueError if `text` is not allowed."""
    value = parse(field.type, text.strip())
    low = field.metadata["low"]
    high = field.metadata["high"]
    choices = field.metadata["choices"]
    if choices and value not in choices:
        raise ValueError(text)
    if low is not None and value < low:
        raise ValueError(text)
    if high is not None and value > high:
        raise ValueError(text)
    return value


def parse(kind, text):
    """Return `text` converted to the type `kind`; raises ValueError if it cannot be."""
    if kind is bool:
        lowered = text.lower()
        if lowered not in TRUE_WORDS | FALSE_WORDS:
            raise ValueError(text)
        return lowered in TRUE_WORDS
    if kind is tuple:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return kind(text)


def read_section(file, name, section, section_class):
    """Return the settings of a section and the list of its problems."""
    fields = {field.name: field for field in attrs.fields(section_class)}
    values = {}
    problems = []
    for key, text in section.items():
        field = fields.get(key)
        if field is None:
            hint = similar_name_hint(key, fields)
            problems.append(Problem(file, name, key, f"no such option{hint}"))
            continue
        try:
            values[key] = convert(field, text)
        except ValueError:
            message = f"{text!r} is not allowed; it takes {describe_allowed(field)}"
            problems.append(Problem(file, name, key, message))
    return section_class(**values), problems


def check(text, file="settings"):
    r"""Return the `Settings` in the INI `text` and the list of all `Problem`s.

    >>> settings, problems = check("[daemon]\nrole = entry\nport = 8000")
    >>> problems[0].option
    'port'
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        return Settings(), [Problem(file, "", "", str(error).replace("\n", " "))]
    sections = {}
    problems = []
    for name in parser.sections():
        section_class = SECTIONS.get(name)
        if section_class is None:
            hint = similar_name_hint(name, SECTIONS)
            problems.append(Problem(file, name, "", f"no such section{hint}"))
            continue
        sections[name], found = read_section(file, name, parser[name], section_class)
        problems.extend(found)
    settings = Settings(**sections)
    problems.extend(Problem(file, *found) for found in settings.problems())
    return settings, problems


def load(path):
    """Return the `Settings` in the file at `path` and the list of all `Problem`s."""
    try:
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        return Settings(), [Problem(str(path), "", "", f"cannot be read: {error}")]
    return check(text, str(path))


def unreadable_files(settings, file):
    """Return a `Problem` for each file named in the settings that cannot be read."""
    problems = []
    for field in attrs.fields(type(settings.security)):
        path = getattr(settings.security, field.name)
        if path and not os.access(path, os.R_OK):
            problems.append(Problem(file, "security", field.name, f"{path} cannot be read"))
    return problems
