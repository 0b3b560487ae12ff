"""Placement of calls to plain services, which have neither prompts nor engines."""

from .policy import Policy, no_endpoint, placed_uncached


class LeastRunning(Policy):
    """Chooses the endpoint with the fewest running calls, reported or sent since the report."""

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return the endpoint with the fewest running calls; ties are broken at random."""
        found = self.candidates(work, view, avoid)
        if not found:
            return no_endpoint(work)
        best = min(found, key=lambda state: (state.running, random.random()))
        return placed_uncached(work, view, best)
