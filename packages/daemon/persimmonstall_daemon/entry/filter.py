"""Base class of the pipeline filters."""

import abc


class Filter(abc.ABC):
    """One step of the pipeline.

    `admit` returns the request for the next filter, or a `Refusal` or stored `Answer` that ends
    the request.  After the request has ended, `settle` is called in reverse order on every
    filter that admitted it and may replace the outcome, an `Answer` or a `Refusal`.
    """

    name = ""

    @abc.abstractmethod
    async def admit(self, request):
        """Return the request for the next filter, or the `Refusal` or `Answer` that ends it."""

    async def settle(self, request, outcome):
        """Release what `admit` acquired; return the outcome for the caller."""
        return outcome
