"""Length classes of prompts."""

import enum


class LengthClass(enum.StrEnum):
    """Classes of prompt length; the bounds are settings."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    GIANT = "giant"


LONG_CLASSES = frozenset((LengthClass.LONG, LengthClass.GIANT))
"""Classes that are kept off the engines where room is left for shorter prompts."""


def classify(tokens, lengths):
    """Return the class of a prompt of `tokens` under the `lengths` settings section.

    >>> from .settings.schema import Lengths
    >>> classify(1000, Lengths()), classify(500_000, Lengths())
    (<LengthClass.SHORT: 'short'>, <LengthClass.GIANT: 'giant'>)
    """
    if tokens <= lengths.short:
        return LengthClass.SHORT
    if tokens <= lengths.medium:
        return LengthClass.MEDIUM
    if tokens <= lengths.long:
        return LengthClass.LONG
    return LengthClass.GIANT
