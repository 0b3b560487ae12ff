"""Organisations' limits at one entry: the decisions of `persimmonstall.limits` over links.

`send(instance, message)` and the view of live entries are handed in, so that the task owns no
socket.  A keeper that is this entry itself is called without a message.
"""

import asyncio

from persimmonstall.limits import BudgetOwner, FairShare, Limiter
from persimmonstall.membership.rendezvous import owner


class Budgets:
    """Admits requests within their organisations' limits and keeps budgets for other entries.

    `members()` returns the names of the live entries, this one included; `send(instance,
    message)` returns False when there is no link to the instance.
    """

    def __init__(self, settings, context, invariants, metrics, members, send):
        self.settings = settings
        self.context = context
        self.metrics = metrics
        self.members = members
        self.send = send
        self.limiter = Limiter(settings, invariants)
        self.keeper = BudgetOwner(settings, invariants)
        self.fair = FairShare(settings, context.now())
        self.owners = {}
        self.names = ()
        self.changed = context.now()
        self.waiting = {}

    def entries(self):
        """Return the live entries' names; forget what was derived from an older set."""
        names = tuple(sorted({*self.members(), self.settings.daemon.instance}))
        if names != self.names:
            for gone in set(self.names) - set(names):
                self.keeper.forget(gone)
            self.names = names
            self.owners = {}
            self.changed = self.context.now()
        return names

    def owner_of(self, organisation):
        """Return the name of the entry that keeps an organisation's budget."""
        names = self.entries()
        if organisation not in self.owners:
            self.owners[organisation] = owner(organisation, names)
        return self.owners[organisation]

    async def admit(self, organisation, tokens):
        """Admit a request of about `tokens` tokens: a `Charge` or a `Refusal`.

        Waits for the keeper's answer for at most `settings.limits.wait` seconds.
        """
        fair = self.fair.admit(organisation, tokens, self.context.now())
        if not fair:
            return fair
        until = self.context.now() + self.settings.limits.wait
        made = self.attempt(organisation, tokens)
        while not made:
            left = until - self.context.now()
            if made.final or left <= 0:
                self.post(organisation, made)
                return made.refusal
            await self.answered(organisation, made, left)
            made = self.attempt(organisation, tokens, again=True)
        return made

    def attempt(self, organisation, tokens, again=False):
        """Try once to admit: a `Charge` or a `Short`."""
        keeper = self.owner_of(organisation.name)
        count = len(self.names)
        now = self.context.now()
        return self.limiter.admit(organisation, tokens, count, keeper, now, again)

    async def answered(self, organisation, short, seconds):
        """Send the ask of a `Short` and wait for any answer for the organisation."""
        event = self.waiting.setdefault(organisation.name, asyncio.Event())
        self.post(organisation, short)
        try:
            await asyncio.wait_for(event.wait(), seconds)
        except TimeoutError:
            self.metrics.count("budget_fallbacks")
        finally:
            if self.waiting.get(organisation.name) is event:
                del self.waiting[organisation.name]

    def post(self, organisation, short):
        """Send the ask of a `Short`, if it has one."""
        if short.ask is not None:
            self.deliver(organisation, short.keeper, short.ask)

    def deliver(self, organisation, keeper, ask):
        """Bring an ask to its keeper, which may be this entry."""
        self.metrics.count("budget_asks")
        if keeper == self.settings.daemon.instance:
            self.on_lease(self.lend(ask, keeper, organisation))
        else:
            self.send(keeper, ask)

    def lend(self, ask, instance, organisation):
        """Return the lease for an ask of `instance`."""
        now = self.context.now()
        count = len(self.entries())
        self.metrics.count("budget_leases")
        return self.keeper.lend(ask, instance, organisation, count, now, self.changed)

    def on_lease(self, lease):
        """Take in a lease and wake who waits for it."""
        self.limiter.on_lease(lease, self.context.now())
        event = self.waiting.pop(lease.organisation, None)
        if event:
            event.set()

    def settle(self, charge, used_tokens):
        """End an admitted request that really used `used_tokens` tokens."""
        self.limiter.settle(charge, used_tokens, self.context.now())

    def tick(self, organisation_of):
        """Renew, return and evict, about once a second.

        `organisation_of(name)` gives the record or None.
        """
        now = self.context.now()
        self.entries()
        for keeper, ask in self.limiter.tick(self.owner_of, now):
            organisation = organisation_of(ask.organisation)
            if organisation is not None:
                self.deliver(organisation, keeper, ask)
        self.keeper.evict(now)
        self.fair.evict(now)
        self.metrics.gauge("budget_organisations", len(self.limiter.accounts))
