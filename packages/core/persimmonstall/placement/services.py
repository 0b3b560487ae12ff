"""Placement of calls of plain services: the instance with the fewest calls in progress."""

from .policy import Policy, no_endpoint, plainly


class LeastRunning(Policy):
    """Least running by the reports, corrected by what was sent since; ties at random."""

    def place(self, work, view, now, random, avoid=frozenset()):
        """Return the least loaded instance of the service."""
        found = self.candidates(work, view, avoid)
        if not found:
            return no_endpoint(work)
        best = min(found, key=lambda state: (state.running, random.random()))
        return plainly(work, view, best)
