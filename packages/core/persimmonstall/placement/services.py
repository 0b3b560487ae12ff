"""Placement of calls to plain services, which have neither prompts nor engines."""

from .policy import SimplePolicy


class LeastRunning(SimplePolicy):
    """Chooses the endpoint with the fewest running calls, reported or sent since the report."""

    def choose(self, work, found, random):
        """Return the endpoint with the fewest running calls; ties are broken at random."""
        return min(found, key=lambda state: (state.running, random.random()))
