"""Time that an engine needs for a prompt and an answer, learned from answers."""

import attrs

PRIOR_SECONDS_PER_TOKEN = 1.0 / 8_000.0
"""Prefill time of one prompt token before anything was observed, in seconds."""

PRIOR_TOKENS = 20_000.0
"""Weight of the prior, in observed tokens."""

FADE_TOKENS = 2_000_000.0
"""Observed tokens at which older observations are halved."""

CONTEXT_TOKENS = 400_000.0
"""Context at which attention doubles the prefill time of a token."""

PRIOR_STEP_SECONDS = 0.02
"""Time of one generation step before an engine reported its own, in seconds."""


def weighted_tokens(uncached, prompt_tokens):
    """Return the prefill of the last `uncached` prompt tokens in tokens of short context.

    >>> weighted_tokens(1_000, 1_000) < 1_010 < weighted_tokens(1_000, 100_000)
    True
    """
    start = prompt_tokens - uncached
    return uncached * (1.0 + 0.5 * (start + prompt_tokens) / CONTEXT_TOKENS)


@attrs.define
class PrefillCost:
    """Prefill speed of one engine under its load, measured where it runs.

    >>> cost = PrefillCost()
    >>> cost.observe(50_000.0, 10.0)
    >>> cost.seconds_per_token > PRIOR_SECONDS_PER_TOKEN
    True
    """

    tokens: float = PRIOR_TOKENS
    seconds: float = PRIOR_TOKENS * PRIOR_SECONDS_PER_TOKEN
    seconds_per_token: float = PRIOR_SECONDS_PER_TOKEN

    def observe(self, tokens, seconds):
        """Record that `tokens` weighted tokens, own and ahead, took `seconds`."""
        self.tokens += tokens
        self.seconds += seconds
        if self.tokens > FADE_TOKENS:
            self.tokens *= 0.5
            self.seconds *= 0.5
        self.seconds_per_token = self.seconds / self.tokens
