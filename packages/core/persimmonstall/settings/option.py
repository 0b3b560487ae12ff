"""Declaration of options: default, allowed values, unit and meaning."""

import attrs


def option(default, meaning, unit="", low=None, high=None, choices=()):
    """Return the attrs field of an option of a settings section.

    `low` and `high` are inclusive bounds of a number.
    """
    metadata = {
        "meaning": meaning,
        "unit": unit,
        "low": low,
        "high": high,
        "choices": tuple(choices),
    }
    return attrs.field(default=default, metadata=metadata)


def describe_allowed(field):
    """Return a description of the values that an option allows.

    >>> @attrs.define
    ... class Section:
    ...     port: int = option(80, "Port.", low=1, high=65535)
    >>> describe_allowed(attrs.fields(Section).port)
    'a whole number from 1 to 65535'
    """
    kind = field.type
    if field.metadata["choices"]:
        return "one of " + ", ".join(field.metadata["choices"])
    if kind is bool:
        return "yes or no"
    if kind in (int, float):
        noun = "a whole number" if kind is int else "a number"
        return noun + describe_range(field.metadata["low"], field.metadata["high"])
    if kind is tuple:
        return "names separated by commas"
    return "text"


def describe_range(low, high):
    """Return the description of a range of numbers."""
    if low is not None and high is not None:
        return f" from {low} to {high}"
    if low is not None:
        return f" of at least {low}"
    return "" if high is None else f" of at most {high}"
