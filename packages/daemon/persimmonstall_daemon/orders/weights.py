"""Grants of the rate-limited weight store, requested with back-off and jitter."""

from persimmonstall.failures import Failure


class WeightFetches:
    """Holds at most one grant for one engine; each refusal doubles the delay, up to a cap.

    After a new version every engine requests a grant at about the same time: the first delay
    is therefore random too, and the store's refusals spread the remaining requests.
    """

    def __init__(self, settings, context, weights, holder):
        self.settings = settings
        self.context = context
        self.weights = weights
        self.holder = holder
        self.artifact = ""
        self.grant = None
        self.refusals = 0
        self.not_before = 0.0

    async def acquire(self, artifact):
        """Request a grant if needed; return whether `artifact` may be fetched now."""
        if artifact != self.artifact:
            await self.finish()
            self.artifact = artifact
            self.not_before = self.context.now() + self.random_delay(
                self.settings.orders.backoff_base
            )
        if self.grant is not None:
            return True
        if self.context.now() < self.not_before:
            return False
        answer = await self.weights.request(artifact, self.holder, self.timeout)
        if isinstance(answer, Failure):
            self.back_off()
            return False
        self.grant = answer
        self.refusals = 0
        return True

    @property
    def timeout(self):
        """Timeout of one call, in seconds."""
        return self.settings.platform.timeout

    def back_off(self):
        """Delay the next request."""
        orders = self.settings.orders
        max_delay = min(orders.backoff_cap, orders.backoff_base * 2.0 ** min(self.refusals, 16))
        self.refusals += 1
        self.not_before = self.context.now() + self.random_delay(max_delay)

    def random_delay(self, max_delay):
        """Return a random delay of up to `max_delay` seconds."""
        return max_delay * self.context.random.random()

    async def finish(self):
        """Release the grant; one that cannot be released expires at the store."""
        grant, self.grant = self.grant, None
        self.artifact = ""
        if grant is not None:
            await self.weights.finish(grant.grant, self.timeout)
