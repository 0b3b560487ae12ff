"""Text and tokens: how long a prompt is and how output tokens read."""

import abc


class Tokeniser(abc.ABC):
    """The tokeniser of the models served."""

    @abc.abstractmethod
    def count(self, prompt):
        """Return the length in tokens of `prompt` (bytes)."""

    @abc.abstractmethod
    def text(self, tokens):
        """Return the text of the output `tokens`; concatenation of parts gives the whole."""
