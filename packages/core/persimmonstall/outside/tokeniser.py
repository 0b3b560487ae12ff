"""Conversion between text and tokens."""

import abc


class Tokeniser(abc.ABC):
    """Tokeniser of the served models."""

    @abc.abstractmethod
    def count(self, prompt):
        """Return the number of tokens in `prompt` (bytes)."""

    @abc.abstractmethod
    def text(self, tokens):
        """Return the text of the output `tokens`; texts of consecutive parts can be joined."""
