"""Organisations' limits at an entry: connects `persimmonstall.limits` with the other entries.

The functions that list the live entries and send messages are passed in, so that this module
needs no sockets.  For a budget that this entry owns, the `BudgetOwner` is called directly and no
message is sent.
"""

import asyncio

from persimmonstall.limits import BudgetOwner, FairShare, Limiter
from persimmonstall.membership.rendezvous import owner


class Budgets:
    """Admits requests within their organisations' limits and lends budgets to other entries.

    `members` and `send` are functions: `members()` returns the names of the live entries, and
    `send(instance, message)` returns False if there is no link to the instance.
    """

    def __init__(self, settings, context, invariants, metrics, members, send):
        self.settings = settings
        self.context = context
        self.metrics = metrics
        self.members = members
        self.send = send
        self.limiter = Limiter(settings, invariants)
        self.budget_owner = BudgetOwner(settings, invariants)
        self.fair = FairShare(settings, context.now())
        self.owners = {}
        self.names = ()
        self.entries_changed_at = context.now()
        self.lease_events = {}

    def entries(self):
        """Return the names of the live entries; a change clears what was derived from them."""
        names = tuple(sorted({*self.members(), self.settings.daemon.instance}))
        if names != self.names:
            for gone in set(self.names) - set(names):
                self.budget_owner.forget(gone)
            self.names = names
            self.owners = {}
            self.entries_changed_at = self.context.now()
        return names

    def owner_of(self, organisation):
        """Return the name of the entry that owns an organisation's budget."""
        names = self.entries()
        if organisation not in self.owners:
            self.owners[organisation] = owner(organisation, names)
        return self.owners[organisation]

    async def admit(self, organisation, tokens):
        """Admit a request of about `tokens` tokens: return a `Charge` or a `Refusal`.

        Waits for the owner's answer for at most `settings.limits.wait` seconds.
        """
        fair = self.fair.admit(organisation, tokens, self.context.now())
        if not fair:
            return fair
        until = self.context.now() + self.settings.limits.wait
        result = self.attempt(organisation, tokens)
        while not result:
            remaining = until - self.context.now()
            if result.final or remaining <= 0:
                self.send_budget_request(organisation, result)
                return result.refusal
            await self.wait_for_lease(organisation, result, remaining)
            result = self.attempt(organisation, tokens, retry=True)
        return result

    def attempt(self, organisation, tokens, retry=False):
        """Try once to admit a request: return a `Charge` or `InsufficientBudget`."""
        owner_name = self.owner_of(organisation.name)
        count = len(self.names)
        now = self.context.now()
        return self.limiter.admit(organisation, tokens, count, owner_name, now, retry)

    async def wait_for_lease(self, organisation, insufficient, seconds):
        """Send the request of an `InsufficientBudget`; wait for the organisation's next lease."""
        event = self.lease_events.setdefault(organisation.name, asyncio.Event())
        self.send_budget_request(organisation, insufficient)
        try:
            # asyncio.wait_for would swallow a cancellation that comes with the event.
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            self.metrics.count("budget_fallbacks")
        finally:
            if self.lease_events.get(organisation.name) is event:
                del self.lease_events[organisation.name]

    def send_budget_request(self, organisation, insufficient):
        """Send the `BudgetRequest` of an `InsufficientBudget`, if it has one."""
        if insufficient.budget_request is not None:
            self.deliver(organisation, insufficient.owner, insufficient.budget_request)

    def deliver(self, organisation, owner_name, budget_request):
        """Deliver a `BudgetRequest` to the budget's owner, which may be this entry."""
        self.metrics.count("budget_asks")
        if owner_name == self.settings.daemon.instance:
            self.on_lease(self.lend(budget_request, owner_name, organisation))
        else:
            self.send(owner_name, budget_request)

    def lend(self, budget_request, instance, organisation):
        """Return the `BudgetLease` for a `BudgetRequest` of `instance`."""
        now = self.context.now()
        count = len(self.entries())
        self.metrics.count("budget_leases")
        return self.budget_owner.lend(
            budget_request, instance, organisation, count, now, self.entries_changed_at
        )

    def on_lease(self, lease):
        """Apply a lease and wake the admissions that wait for it."""
        self.limiter.on_lease(lease, self.context.now())
        event = self.lease_events.pop(lease.organisation, None)
        if event:
            event.set()

    def settle(self, charge, used_tokens):
        """Settle the charge of a request that used `used_tokens` tokens."""
        self.limiter.settle(charge, used_tokens, self.context.now())

    def tick(self, organisation_of):
        """Renew slots, return unused budget and evict idle state; called about once a second.

        `organisation_of(name)` returns the organisation's record or None.
        """
        now = self.context.now()
        self.entries()
        for owner_name, budget_request in self.limiter.tick(self.owner_of, now):
            organisation = organisation_of(budget_request.organisation)
            if organisation is not None:
                self.deliver(organisation, owner_name, budget_request)
        self.budget_owner.evict(now)
        self.fair.evict(now)
        self.metrics.gauge("budget_organisations", len(self.limiter.accounts))
