"""Model of an engine's batch step time with and without prefill, learned from its steps."""

import attrs

WEIGHT = 0.05
"""Weight of the newest step in the moving averages."""

PRIOR_BASE_SECONDS = 0.018
"""Time of a step without prefill assumed before any was observed."""

PRIOR_TOKEN_SECONDS = 1.0 / 40_000.0
"""Time per prompt token in a step assumed before any was observed."""

MAX_STEP_SECONDS = 1.0
"""Time between two steps above which the engine is taken to have paused."""

MIN_TOKENS = 128
"""Fewest prompt tokens in a step from which the time per token is learned; fewer are too noisy."""

STEP_SHARE = 0.9
"""Share of the inter-token latency objective that a step may take."""


@attrs.define
class StepTimes:
    """Time of a step without prefill, and added time per prompt token, in seconds.

    >>> steps = StepTimes()
    >>> for _ in range(200):
    ...     steps.observe(0.060, 1000)
    >>> steps.token_budget(0.052) < StepTimes().token_budget(0.052)
    True
    """

    base: float = PRIOR_BASE_SECONDS
    token: float = PRIOR_TOKEN_SECONDS

    def observe(self, seconds, tokens):
        """Learn from a step of `seconds` that prefilled about `tokens` prompt tokens."""
        if seconds > MAX_STEP_SECONDS:
            return
        if not tokens:
            self.base += WEIGHT * (seconds - self.base)
        elif tokens >= MIN_TOKENS:
            sample = max(0.0, seconds - self.base) / tokens
            self.token += WEIGHT * (sample - self.token)

    def token_budget(self, objective):
        """Return how many prompt tokens a step can prefill within `objective` seconds."""
        return max(0, int((STEP_SHARE * objective - self.base) / self.token))
