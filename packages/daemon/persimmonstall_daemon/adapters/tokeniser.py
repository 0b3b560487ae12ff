"""A tokeniser that counts bytes and decodes each output token to a numbered word."""

from persimmonstall.outside.tokeniser import Tokeniser


class ByteTokeniser(Tokeniser):
    """Counts `token_bytes` bytes of UTF-8 text as one token."""

    def __init__(self, token_bytes):
        self.token_bytes = token_bytes

    def count(self, prompt):
        """Return the length of `prompt` (bytes) in tokens, at least one.

        >>> ByteTokeniser(4.0).count(b"12345678")
        2
        """
        return max(1, round(len(prompt) / self.token_bytes))

    def text(self, tokens):
        """Return the text of the output `tokens`.

        >>> ByteTokeniser(4.0).text((7, 12))
        ' t7 t12'
        """
        return "".join(f" t{token}" for token in tokens)
