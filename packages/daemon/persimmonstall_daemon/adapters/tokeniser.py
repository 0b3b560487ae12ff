"""A vocabulary that counts bytes and writes each output token as a numbered word."""

from persimmonstall.outside.tokeniser import Tokeniser


class ByteTokeniser(Tokeniser):
    """Takes `token_bytes` bytes of UTF-8 text for one token."""

    def __init__(self, token_bytes):
        self.token_bytes = token_bytes

    def count(self, prompt):
        """Return the length of `prompt` (bytes) in tokens, at least one.

        >>> ByteTokeniser(4.0).count(b"12345678")
        2
        """
        return max(1, round(len(prompt) / self.token_bytes))

    def text(self, tokens):
        """Return the words of the output `tokens`.

        >>> ByteTokeniser(4.0).text((7, 12))
        ' t7 t12'
        """
        return "".join(f" t{token}" for token in tokens)
