"""Chooses between the dispatch of ordinary prompts and of divided prompts."""


class DispatchBySize:
    """Passes each request to the `ordinary` dispatch or, if `planner` says so, to `divided`."""

    def __init__(self, ordinary, divided, planner):
        self.ordinary = ordinary
        self.divided = divided
        self.planner = planner

    async def run(self, work, sink):
        """Run an admitted request; return its `Answer` or `Refusal`."""
        chosen = self.divided if self.planner.needs_division(work) else self.ordinary
        return await chosen.run(work, sink)
