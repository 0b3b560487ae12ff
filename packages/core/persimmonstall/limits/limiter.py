"""An entry's side of the organisations' limits: admits, settles and asks keepers for more.

A request is admitted from the entry's own share, then from what the keeper has lent.  When
neither is enough the caller of `admit` gets the `BudgetRequest` to send, waits for the answer for
at most `settings.limits.wait` and tries once more.
"""

import attrs

from ..failures import Reason, Refusal
from ..messages.control import BudgetRequest
from .account import DURATION_WEIGHT, open_account, own_share, sizes, slots_allowed
from .budget_owner import bounded_retry, is_full, own_slots

STEP = "limits"
"""Name of the pipeline's step in refusals."""

RENEWAL = 3.0
"""Slots are renewed this many times within their lease."""


@attrs.define
class Charge:
    """What an admitted request was charged; given back to `settle` at its end."""

    organisation: str
    tokens: float
    at: float
    settled: bool = False


@attrs.frozen
class Short:
    """The budget here is not enough: `ask` is to be sent to `keeper`, then tried again.

    `final` says that trying again is of no use: the keeper lent less than asked, or is out of
    reach.
    """

    refusal: Refusal
    ask: BudgetRequest | None
    keeper: str
    final: bool = False

    def __bool__(self):
        return False


class Limiter:
    """Accounts of the organisations that were active here lately."""

    def __init__(self, settings, invariants):
        self.settings = settings
        self.invariants = invariants
        self.accounts = {}

    def account_of(self, organisation, entries, now):
        """Return the account of an `Organisation`, sized by limits and entries as of now."""
        account = self.accounts.get(organisation.name)
        share = own_share(account, entries, self.settings, now)
        slots = own_slots(organisation.concurrency, entries, self.settings)
        if account is None:
            account = open_account(organisation, share, self.settings, now)
            account.own_slots = slots
            self.accounts[organisation.name] = account
            return account
        account.own_slots = slots
        rate, capacity, token_rate = sizes(organisation, share, self.settings)
        account.requests.resize(rate, capacity, now)
        account.tokens.resize(token_rate, token_rate * self.settings.limits.burst, now)
        return account

    def admit(self, organisation, tokens, entries, keeper, now, again=False):
        """Admit one request of about `tokens` tokens: a `Charge`, or a `Short`.

        `entries` is the number of live entries and `keeper` the name of the budget's keeper.
        `again` is set on the second try, which is not counted as new demand.
        """
        account = self.account_of(organisation, entries, now)
        account.used = now
        if not again:
            account.request_demand.add(1.0, now)
            account.token_demand.add(tokens, now)
            account.queued_requests += 1
            account.queued_tokens += tokens
        reason = self.lacking(account, organisation, tokens, entries, now)
        if reason is None:
            self.take(account, organisation, tokens, now)
            self.unqueue(account, tokens, again)
            return Charge(organisation.name, tokens, now)
        answered = again and account.unanswered is None
        final = answered and account.told_short()
        final = final or account.unreachable(now, self.settings.limits.wait)
        refusal = self.refusal(account, reason, tokens, keeper, now)
        ask = (
            None
            if final and answered
            else self.ask_for(account, organisation, tokens, keeper, now)
        )
        return Short(refusal, ask, keeper, final)

    def unqueue(self, account, tokens, again):
        """Take a request that was admitted at once out of what the next ask is for."""
        if not again:
            account.queued_requests = max(0, account.queued_requests - 1)
            account.queued_tokens = max(0.0, account.queued_tokens - tokens)

    def lacking(self, account, organisation, tokens, entries, now):
        """Return the `Reason` for which a request cannot be admitted now, or None."""
        limit = organisation.concurrency
        allowed = slots_allowed(account, limit, entries, self.settings, now)
        if limit and account.active >= allowed:
            return Reason.CONCURRENCY_LIMITED
        alone = account.unreachable(now, self.settings.limits.wait)
        if not enough(account.requests, account.lent_requests, 1.0, alone, now):
            return Reason.RATE_LIMITED
        if not enough(account.tokens, account.lent_tokens, tokens, alone, now):
            return Reason.RATE_LIMITED
        return None

    def take(self, account, organisation, tokens, now):
        """Charge one admitted request."""
        account.active += 1
        account.lent_requests = spend(account.requests, account.lent_requests, 1.0, now)
        account.lent_tokens = spend(account.tokens, account.lent_tokens, tokens, now)
        self.invariants.check(
            "budget_not_overdrawn",
            account.lent_requests >= 0 and account.lent_tokens >= 0,
            organisation.name,
        )

    def refusal(self, account, reason, tokens, keeper, now):
        """Return the refusal that says when to come back."""
        if reason is Reason.CONCURRENCY_LIMITED:
            wait = account.duration / max(1, account.active)
        else:
            wait = max(account.requests.wait(1.0, now), account.tokens.wait(tokens, now))
            if account.retry_after and account.unanswered is None:
                wait = min(wait, account.retry_after)
        return Refusal(reason, STEP, keeper, retry_after=bounded_retry(wait))

    def ask_for(self, account, organisation, tokens, keeper, now):
        """Return the ask for what is missing, or None while one is on its way."""
        wait = self.settings.limits.wait
        if account.unanswered is not None and now - account.asked < wait:
            return None
        ahead = self.settings.limits.lend
        have_requests = account.lent_requests + account.requests.refill(now)
        have_tokens = account.lent_tokens + account.tokens.refill(now)
        requests = max(1, account.queued_requests) - have_requests
        need = max(0.0, tokens - have_tokens)
        wanted = max(tokens, account.queued_tokens) - have_tokens
        ask = self.send(
            account,
            organisation.name,
            keeper,
            now,
            requests=max(0.0, requests + account.request_demand.value(now) * ahead),
            tokens=max(0.0, wanted + account.token_demand.value(now) * ahead),
            need=need,
            slots=self.slots_to_ask(account, organisation, now),
        )
        account.queued_requests = 0
        account.queued_tokens = 0.0
        return ask

    def slots_to_ask(self, account, organisation, now):
        """Return how many slots to be lent: for those in use, and what demand needs soon."""
        if not organisation.concurrency:
            return 0
        soon = account.request_demand.value(now) * min(account.duration, self.settings.limits.lend)
        queued = max(1, account.queued_requests)
        return max(0, account.active + queued + int(soon) - account.own_slots)

    def send(self, account, name, keeper, now, slots=0, **amounts):
        """Return a `BudgetRequest` and note that it is on its way.

        Slots that are no longer wanted are not used from now on, since the keeper may lend
        them to another entry before its answer arrives.
        """
        if account.keeper != keeper:
            account.keeper = keeper
            account.unanswered = None
        account.sequence += 1
        account.asked = now
        account.wanted_slots = slots
        account.lent_slots = min(account.lent_slots, slots)
        if account.unanswered is None:
            account.unanswered = now
        held = max(0, account.active - account.own_slots)
        return BudgetRequest(name, account.sequence, slots=slots, held=held, **amounts)

    def on_lease(self, lease, now):
        """Take in a `BudgetLease`; the answer to an older ask than the last is dropped."""
        account = self.accounts.get(lease.organisation)
        if account is None or lease.sequence != account.sequence:
            return False
        account.unanswered = None
        account.lent_requests += lease.requests
        account.lent_tokens += lease.tokens
        account.lent_slots = lease.slots
        account.slots_until = account.asked + lease.seconds
        account.retry_after = lease.retry_after
        return True

    def settle(self, charge, used_tokens, now):
        """End an admitted request: give back or charge the difference to its real use."""
        if not self.invariants.check("settled_once", not charge.settled, charge.organisation):
            return
        charge.settled = True
        account = self.accounts.get(charge.organisation)
        if account is None:
            return
        account.active -= 1
        duration = now - charge.at
        account.duration += DURATION_WEIGHT * (duration - account.duration)
        unused = charge.tokens - used_tokens
        if unused >= 0 and account.tokens.rate:
            account.lent_tokens += unused
        else:
            account.lent_tokens = spend(account.tokens, account.lent_tokens, -unused, now)

    def tick(self, owner_of, now):
        """Return (keeper, `BudgetRequest`) pairs that renew slots or return unused budget.

        Called about once a second; accounts that say no more than new ones are dropped.
        """
        asks = []
        for name, account in list(self.accounts.items()):
            if account.active:
                ask = self.renewal(account, name, owner_of, now)
            else:
                ask = self.give_back(account, name, owner_of, now)
            if ask:
                asks.append((account.keeper, ask))
            self.evict(name, account, now)
        return asks

    def renewal(self, account, name, owner_of, now):
        """Return the ask that keeps the slots in use, when it is due.

        It is due at once when the organisation has a new keeper, which must learn of them.
        """
        if not account.lent_slots:
            return None
        keeper = owner_of(name)
        due = now - account.asked >= self.settings.limits.slot_lease / RENEWAL
        if keeper == account.keeper and not due:
            return None
        slots = max(0, account.active - account.own_slots)
        return self.send(account, name, keeper, now, slots=slots)

    def give_back(self, account, name, owner_of, now):
        """Return the ask that returns what was lent and not used for a while, if any."""
        if now - account.used < self.settings.limits.idle or account.unanswered is not None:
            return None
        if account.lent_requests < 1 and account.lent_tokens < 1 and not account.lent_slots:
            return None
        ask = self.send(
            account,
            name,
            owner_of(name),
            now,
            returned_requests=account.lent_requests,
            returned_tokens=account.lent_tokens,
        )
        account.lent_requests = 0.0
        account.lent_tokens = 0.0
        return ask

    def evict(self, name, account, now):
        """Drop an idle account whose own share is full again."""
        idle = now - max(account.used, account.asked) >= self.settings.limits.idle
        if account.active or not idle:
            return
        if is_full(account.requests, now) and is_full(account.tokens, now):
            del self.accounts[name]


def enough(bucket, lent, amount, alone, now):
    """Return whether own share and lent amount together cover `amount`.

    Without a keeper (`alone`) a full bucket is enough for an amount larger than itself.
    """
    if not bucket.rate or bucket.refill(now) + lent >= amount:
        return True
    return alone and bucket.wait(amount, now) <= 0


def spend(bucket, lent, amount, now):
    """Take `amount` from the lent part first, then from the own share; return what is lent.

    The lent part goes first, since only the own share refills here.
    """
    if not bucket.rate:
        return 0.0
    part = min(lent, amount)
    bucket.take(amount - part, now)
    return lent - part
