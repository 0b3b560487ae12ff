"""How long an engine's batch steps take with and without prefill, learned from the steps."""

import attrs

WEIGHT = 0.05
"""Weight of the newest step."""

PRIOR_BASE_SECONDS = 0.018
"""Time of a step without prefill before any was seen."""

PRIOR_TOKEN_SECONDS = 1.0 / 40_000.0
"""Time that one prompt token adds to a step before any was seen."""

LONGEST_SECONDS = 1.0
"""A longer time between two steps is a pause of the engine, not a step."""

MIN_TOKENS = 128
"""Steps with fewer prompt tokens say too little about the time of one."""

STEP_SHARE = 0.9
"""Share of the objective between tokens that a step may take."""


@attrs.define
class StepTimes:
    """Time of a step without prefill, and what each prompt token adds, in seconds.

    >>> steps = StepTimes()
    >>> for _ in range(200):
    ...     steps.observe(0.060, 1000)
    >>> steps.room(0.052) < StepTimes().room(0.052)
    True
    """

    base: float = PRIOR_BASE_SECONDS
    token: float = PRIOR_TOKEN_SECONDS

    def observe(self, seconds, tokens):
        """Take in a step of `seconds` that prefilled about `tokens` prompt tokens."""
        if seconds > LONGEST_SECONDS:
            return
        if not tokens:
            self.base += WEIGHT * (seconds - self.base)
        elif tokens >= MIN_TOKENS:
            sample = max(0.0, seconds - self.base) / tokens
            self.token += WEIGHT * (sample - self.token)

    def room(self, objective):
        """Return the prompt tokens that fit in a step within `objective` seconds."""
        return max(0, int((STEP_SHARE * objective - self.base) / self.token))
