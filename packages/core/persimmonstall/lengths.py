"""Classification of prompts by length."""

import enum


class LengthClass(enum.StrEnum):
    """Classes of prompt length; their bounds are in the settings section `lengths`."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    GIANT = "giant"


LONG_CLASSES = frozenset((LengthClass.LONG, LengthClass.GIANT))
"""Classes that are not placed on the endpoints reserved for short prompts."""


def classify(tokens, lengths):
    """Return the length class of a prompt of `tokens`, by the settings section `lengths`.

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
