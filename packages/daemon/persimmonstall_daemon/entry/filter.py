"""Base class of the pipeline's filters."""

import abc


class Filter(abc.ABC):
    """One step of the pipeline.

    `admit` takes a typed message and returns the next one, or a `Refusal` or stored `Answer`
    that ends the request.  `settle` runs in reverse order for every filter that admitted the
    request; it may change the outcome, an `Answer` or a `Refusal`.
    """

    name = ""

    @abc.abstractmethod
    async def admit(self, request):
        """Return the message for the next filter, or the `Refusal` or `Answer` to give."""

    async def settle(self, request, outcome):
        """Release what `admit` took; return the outcome that the caller is given."""
        return outcome
