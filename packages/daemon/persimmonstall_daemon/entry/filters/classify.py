"""Determines a prompt's length, length class, prefix blocks and fingerprint."""

import attrs
import xxhash

from persimmonstall.failures import Reason, Refusal
from persimmonstall.lengths import classify

from ..filter import Filter

FINGERPRINT_SEED = 1
DEFAULT_MAX_TOKENS = 1024


class Classify(Filter):
    """Checks whether the organisation may use the model or service and measures the prompt."""

    name = "classify"

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, work):
        """Return the work with the measurements of its prompt, or a `Refusal`."""
        if work.service:
            return self.admit_service(work)
        catalogue = self.entry.catalogue
        organisation = catalogue.get("organisation", work.organisation)
        adapter = catalogue.get("adapter", work.model)
        model = catalogue.get("model", adapter.model if adapter else work.model)
        if model is None or organisation is None:
            return self.refuse(Reason.UNKNOWN_MODEL, f"unknown model {work.model!r}")
        if organisation.models and model.name not in organisation.models:
            return self.refuse(
                Reason.FORBIDDEN, f"{model.name} is not allowed for this organisation"
            )
        if adapter and adapter.name not in organisation.adapters:
            return self.refuse(
                Reason.FORBIDDEN, f"{adapter.name} is not allowed for this organisation"
            )
        if adapter:
            work = attrs.evolve(work, adapter=adapter.name)
        return self.measure(work, model)

    def admit_service(self, work):
        """Return the work of a plain service with its fingerprint, or a `Refusal`.

        A call with an idempotency key counts as not idempotent: the claim on its key ensures that
        it runs at most once.
        """
        catalogue = self.entry.catalogue
        service = catalogue.get("service", work.service)
        if service is None:
            return self.refuse(Reason.UNKNOWN_SERVICE, f"unknown service {work.service!r}")
        organisation = catalogue.get("organisation", work.organisation)
        if organisation.services and service.name not in organisation.services:
            return self.refuse(
                Reason.FORBIDDEN, f"{service.name} is not allowed for this organisation"
            )
        idempotent = work.idempotent and not work.key
        idempotent = idempotent and work.method not in service.non_idempotent
        fingerprint = self.fingerprint(work.prompt, f"{work.service}/{work.method}")
        return attrs.evolve(work, idempotent=idempotent, fingerprint=fingerprint)

    def refuse(self, reason, detail):
        """Return a refusal by this filter."""
        peer = self.entry.settings.daemon.instance
        return Refusal(reason, self.name, peer, detail)

    def measure(self, work, model):
        """Return the work with its length, class, blocks and fingerprint."""
        length = self.entry.tokeniser.count(work.prompt)
        max_tokens = work.max_tokens or min(DEFAULT_MAX_TOKENS, model.max_output_tokens)
        max_tokens = min(max_tokens, model.max_output_tokens, model.context_tokens - length)
        if max_tokens < 1:
            detail = (
                f"{length} prompt tokens; the context of {model.name} holds {model.context_tokens}"
            )
            return self.refuse(Reason.PROMPT_TOO_LONG, detail)
        lengths = self.entry.settings.lengths
        block_bytes = int(lengths.block * self.entry.settings.callers.token_bytes)
        return attrs.evolve(
            work,
            model=model.name,
            prompt_tokens=length,
            max_tokens=max_tokens,
            predicted_tokens=max_tokens,
            length_class=classify(length, lengths),
            blocks=chain_blocks(work.prompt, block_bytes, work.model + work.adapter),
            fingerprint=self.fingerprint(work.prompt, ""),
        )

    def fingerprint(self, prompt, scope):
        """Return a hash of the content, which does not depend on the caller."""
        return xxhash.xxh3_128_hexdigest(prompt, seed=FINGERPRINT_SEED) + scope


def chain_blocks(prompt, size, scope):
    """Return the chained 64-bit hashes of the prompt's full blocks of `size` bytes.

    The chain starts with `scope`, so that prompts of different scopes share no hashes.

    >>> first = chain_blocks(b"aabb", 2, "m")
    >>> chain_blocks(b"aacc", 2, "m")[0] == first[0]
    True
    """
    view = memoryview(prompt)
    previous = xxhash.xxh3_64_intdigest(scope.encode())
    blocks = []
    for start in range(0, len(prompt) - size + 1, size):
        previous = xxhash.xxh3_64_intdigest(view[start : start + size], seed=previous)
        blocks.append(previous)
    return tuple(blocks)
