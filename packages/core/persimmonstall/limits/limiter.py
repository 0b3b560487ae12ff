"""An entry's side of the organisations' limits: admits and settles requests, requests leases.

A request is charged to what the budget's owner has lent and to the entry's own share.  If they do
not suffice together, the caller of `admit` gets a `BudgetRequest` to send, waits for the answer
for at most `settings.limits.wait` seconds and tries once more.
"""

import attrs

from ..failures import Reason, Refusal
from ..messages.control import BudgetRequest
from .account import DURATION_WEIGHT, bucket_sizes, open_account, own_share, slots_allowed
from .budget_owner import bounded_retry, is_full, own_slots

STEP = "limits"
"""Name of this step in refusals."""

RENEWALS_PER_LEASE = 3.0
"""Number of times that lent slots are renewed within a lease."""


@attrs.define
class Charge:
    """Charge for an admitted request, to be passed to `settle` at its end."""

    organisation: str
    tokens: float
    at: float
    settled: bool = False


@attrs.frozen
class InsufficientBudget:
    """Result of an admission that failed for lack of budget; falsy.

    `budget_request`, if any, is to be sent to `owner` before the admission is tried again.
    `final` is set if another try is useless: the owner lent less than was requested, or is
    unreachable.
    """

    refusal: Refusal
    budget_request: BudgetRequest | None
    owner: str
    final: bool = False

    def __bool__(self):
        return False


class Limiter:
    """Admits requests from the accounts of the organisations recently active at this entry."""

    def __init__(self, settings, invariants):
        self.settings = settings
        self.invariants = invariants
        self.accounts = {}

    def account_of(self, organisation, entries, now):
        """Return the account of an `Organisation`, sized by its limits and the live entries."""
        account = self.accounts.get(organisation.name)
        share = own_share(account, entries, self.settings, now)
        slots = own_slots(organisation.concurrency, entries, self.settings)
        if account is None:
            account = open_account(organisation, share, self.settings, now)
            account.own_slots = slots
            self.accounts[organisation.name] = account
            return account
        account.own_slots = slots
        rate, capacity, token_rate = bucket_sizes(organisation, share, self.settings)
        account.requests.resize(rate, capacity, now)
        account.tokens.resize(token_rate, token_rate * self.settings.limits.burst, now)
        return account

    def admit(self, organisation, tokens, entries, owner, now, retry=False):
        """Admit a request of about `tokens` tokens: return a `Charge` or `InsufficientBudget`.

        `entries` is the number of live entries and `owner` the name of the budget's owner.
        `retry` is set on the second try, which is not counted as new demand.
        """
        account = self.account_of(organisation, entries, now)
        account.used_at = now
        if not retry:
            account.request_demand.add(1.0, now)
            account.token_demand.add(tokens, now)
            account.queued_requests += 1
            account.queued_tokens += tokens
        reason = self.refusal_reason(account, organisation, tokens, entries, now)
        if reason is None:
            self.take(account, organisation, tokens, now)
            self.remove_queued(account, tokens, retry)
            return Charge(organisation.name, tokens, now)
        answered = retry and account.unanswered_since is None
        final = answered and account.lease_was_partial()
        final = final or account.unreachable(now, self.settings.limits.wait)
        refusal = self.refusal(account, reason, tokens, owner, now)
        budget_request = (
            None
            if final and answered
            else self.new_budget_request(account, organisation, tokens, owner, now)
        )
        return InsufficientBudget(refusal, budget_request, owner, final)

    def remove_queued(self, account, tokens, retry):
        """Leave a request admitted on its first try out of the next `BudgetRequest`."""
        if not retry:
            account.queued_requests = max(0, account.queued_requests - 1)
            account.queued_tokens = max(0.0, account.queued_tokens - tokens)

    def refusal_reason(self, account, organisation, tokens, entries, now):
        """Return the `Reason` why a request cannot be admitted now, or None."""
        limit = organisation.concurrency
        allowed = slots_allowed(account, limit, entries, self.settings, now)
        if limit and account.active >= allowed:
            return Reason.CONCURRENCY_LIMITED
        owner_unreachable = account.unreachable(now, self.settings.limits.wait)
        if not covers(account.requests, account.lent_requests, 1.0, owner_unreachable, now):
            return Reason.RATE_LIMITED
        if not covers(account.tokens, account.lent_tokens, tokens, owner_unreachable, now):
            return Reason.RATE_LIMITED
        return None

    def take(self, account, organisation, tokens, now):
        """Charge an admitted request to the account."""
        account.active += 1
        account.lent_requests = spend(account.requests, account.lent_requests, 1.0, now)
        account.lent_tokens = spend(account.tokens, account.lent_tokens, tokens, now)
        self.invariants.check(
            "budget_not_overdrawn",
            account.lent_requests >= 0 and account.lent_tokens >= 0,
            organisation.name,
        )

    def refusal(self, account, reason, tokens, owner, now):
        """Return the `Refusal` of a request, with the time after which to retry."""
        if reason is Reason.CONCURRENCY_LIMITED:
            wait = account.duration / max(1, account.active)
        else:
            wait = max(account.requests.wait(1.0, now), account.tokens.wait(tokens, now))
            if account.retry_after and account.unanswered_since is None:
                wait = min(wait, account.retry_after)
        return Refusal(reason, STEP, owner, retry_after=bounded_retry(wait))

    def new_budget_request(self, account, organisation, tokens, owner, now):
        """Return the `BudgetRequest` for the missing amounts, None while one is unanswered."""
        wait = self.settings.limits.wait
        if account.unanswered_since is not None and now - account.requested_at < wait:
            return None
        ahead = self.settings.limits.lend
        have_requests = account.lent_requests + account.requests.refill(now)
        have_tokens = account.lent_tokens + account.tokens.refill(now)
        requests = max(1, account.queued_requests) - have_requests
        need = max(0.0, tokens - have_tokens)
        wanted = max(tokens, account.queued_tokens) - have_tokens
        budget_request = self.send(
            account,
            organisation.name,
            owner,
            now,
            requests=max(0.0, requests + account.request_demand.value(now) * ahead),
            tokens=max(0.0, wanted + account.token_demand.value(now) * ahead),
            need=need,
            slots=self.slots_to_request(account, organisation, now),
        )
        account.queued_requests = 0
        account.queued_tokens = 0.0
        return budget_request

    def slots_to_request(self, account, organisation, now):
        """Return the number of slots to request: those in use and those soon needed."""
        if not organisation.concurrency:
            return 0
        soon = account.request_demand.value(now) * min(account.duration, self.settings.limits.lend)
        queued = max(1, account.queued_requests)
        return max(0, account.active + queued + int(soon) - account.own_slots)

    def send(self, account, name, owner, now, slots=0, **amounts):
        """Return a `BudgetRequest` and record it as sent.

        Slots beyond those requested are given up at once, since the owner may lend them to
        another entry before its answer arrives.
        """
        if account.owner != owner:
            account.owner = owner
            account.unanswered_since = None
        account.sequence += 1
        account.requested_at = now
        account.wanted_slots = slots
        account.lent_slots = min(account.lent_slots, slots)
        if account.unanswered_since is None:
            account.unanswered_since = now
        held = max(0, account.active - account.own_slots)
        return BudgetRequest(name, account.sequence, slots=slots, held=held, **amounts)

    def on_lease(self, lease, now):
        """Apply a `BudgetLease`; return False and ignore it unless it answers the last request."""
        account = self.accounts.get(lease.organisation)
        if account is None or lease.sequence != account.sequence:
            return False
        account.unanswered_since = None
        account.lent_requests += lease.requests
        account.lent_tokens += lease.tokens
        account.lent_slots = lease.slots
        account.slots_until = account.requested_at + lease.seconds
        account.retry_after = lease.retry_after
        return True

    def settle(self, charge, used_tokens, now):
        """End an admitted request: refund or charge the difference to its actual usage."""
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
        """Return (owner, `BudgetRequest`) pairs that renew slots or return unused budget.

        Called about once a second; evicts idle accounts whose state is that of a new one.
        """
        budget_requests = []
        for name, account in list(self.accounts.items()):
            if account.active:
                budget_request = self.renewal(account, name, owner_of, now)
            else:
                budget_request = self.return_budget(account, name, owner_of, now)
            if budget_request:
                budget_requests.append((account.owner, budget_request))
            self.evict(name, account, now)
        return budget_requests

    def renewal(self, account, name, owner_of, now):
        """Return the `BudgetRequest` that renews the slots in use, or None if it is not due.

        It is due at once if the budget has a new owner, which does not know these slots.
        """
        if not account.lent_slots:
            return None
        owner = owner_of(name)
        due = now - account.requested_at >= self.settings.limits.slot_lease / RENEWALS_PER_LEASE
        if owner == account.owner and not due:
            return None
        slots = max(0, account.active - account.own_slots)
        return self.send(account, name, owner, now, slots=slots)

    def return_budget(self, account, name, owner_of, now):
        """Return the `BudgetRequest` that returns lent budget after an idle time, or None."""
        if (
            now - account.used_at < self.settings.limits.idle
            or account.unanswered_since is not None
        ):
            return None
        if account.lent_requests < 1 and account.lent_tokens < 1 and not account.lent_slots:
            return None
        budget_request = self.send(
            account,
            name,
            owner_of(name),
            now,
            returned_requests=account.lent_requests,
            returned_tokens=account.lent_tokens,
        )
        account.lent_requests = 0.0
        account.lent_tokens = 0.0
        return budget_request

    def evict(self, name, account, now):
        """Evict an idle account whose buckets are full again."""
        idle = now - max(account.used_at, account.requested_at) >= self.settings.limits.idle
        if account.active or not idle:
            return
        if is_full(account.requests, now) and is_full(account.tokens, now):
            del self.accounts[name]


def covers(bucket, lent, amount, owner_unreachable, now):
    """Return whether the own share and the lent amount together cover `amount`.

    While the owner is unreachable, a full bucket covers any larger amount.
    """
    if not bucket.rate or bucket.refill(now) + lent >= amount:
        return True
    return owner_unreachable and bucket.wait(amount, now) <= 0


def spend(bucket, lent, amount, now):
    """Take `amount` from the lent amount, then from the own share; return what is left lent.

    The lent amount is used first because only the own share refills at this entry.
    """
    if not bucket.rate:
        return 0.0
    from_lent = min(lent, amount)
    bucket.take(amount - from_lent, now)
    return lent - from_lent
