"""Length classes of prompts."""

import enum


class LengthClass(enum.StrEnum):
    """Class of a prompt by its number of tokens."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    GIANT = "giant"


LONG_CLASSES = frozenset((LengthClass.LONG, LengthClass.GIANT))
"""Classes that are kept off the engines where room is left for short prompts."""


def classify(prompt_tokens, lengths):
    """Return the `LengthClass` of a prompt; `lengths` is the settings section.

    >>> from ..settings import Settings
    >>> str(classify(5_000, Settings().lengths))
    'medium'
    """
    if prompt_tokens <= lengths.short:
        return LengthClass.SHORT
    if prompt_tokens <= lengths.medium:
        return LengthClass.MEDIUM
    if prompt_tokens <= lengths.long:
        return LengthClass.LONG
    return LengthClass.GIANT
