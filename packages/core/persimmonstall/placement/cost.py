"""Prefill cost of an engine, estimated from observed prefill times."""

import attrs

PRIOR_SECONDS_PER_TOKEN = 1.0 / 8_000.0
"""Prefill time per prompt token assumed before any observation, in seconds."""

PRIOR_TOKENS = 20_000.0
"""Weight of the prior, in tokens."""

DECAY_TOKENS = 2_000_000.0
"""Total of observed tokens at which the weight of all observations is halved."""

CONTEXT_TOKENS = 400_000.0
"""Context length, in tokens, at which attention doubles the prefill time of a token."""

PRIOR_STEP_SECONDS = 0.02
"""Decode step time assumed before an engine reports its own, in seconds."""


def weighted_tokens(uncached, prompt_tokens):
    """Return the prefill work of the last `uncached` prompt tokens, in weighted tokens.

    A token without context has weight 1; attention adds to the weight in proportion to the
    context before the token.

    >>> weighted_tokens(1_000, 1_000) < 1_010 < weighted_tokens(1_000, 100_000)
    True
    """
    start = prompt_tokens - uncached
    return uncached * (1.0 + 0.5 * (start + prompt_tokens) / CONTEXT_TOKENS)


@attrs.define
class PrefillCost:
    """Running estimate of one engine's prefill time per token under its actual load.

    >>> cost = PrefillCost()
    >>> cost.observe(50_000.0, 10.0)
    >>> cost.seconds_per_token > PRIOR_SECONDS_PER_TOKEN
    True
    """

    tokens: float = PRIOR_TOKENS
    seconds: float = PRIOR_TOKENS * PRIOR_SECONDS_PER_TOKEN
    seconds_per_token: float = PRIOR_SECONDS_PER_TOKEN

    def observe(self, tokens, seconds):
        """Record that the prefill of `tokens` weighted tokens took `seconds`."""
        self.tokens += tokens
        self.seconds += seconds
        if self.tokens > DECAY_TOKENS:
            self.tokens *= 0.5
            self.seconds *= 0.5
        self.seconds_per_token = self.seconds / self.tokens
