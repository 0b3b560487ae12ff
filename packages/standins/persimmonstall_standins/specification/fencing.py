"""Model of orders to one engine by lease holders, with expiry, pauses and delayed orders.

The version of the lease's row is the fencing number.  A holder that was paused past its lease
still assumes that it holds it, and its orders may be delayed in transit.  An engine that checks
numbers refuses lower ones.  For one that does not, a new holder first waits for the pause bound,
after which the old holder has noticed the expiry and its orders are no longer in transit.
"""

import attrs
from minicheck import Protocol

FIELDS = ("fence", "believed", "under_way", "applied", "highest", "orders")
HOLDERS = 2
MAX_FENCE = 3
MAX_ORDERS = 4


@attrs.frozen
class FencingSpecification:
    """`checks`: the engine refuses old numbers; `waits`: a new holder waits the pause bound."""

    checks: bool = True
    waits: bool = False

    def protocol(self):
        """Return the `Protocol` that `minicheck.check_safety` takes."""
        initial = (0, (0,) * HOLDERS, frozenset(), 0, 0, 0)
        invariants = {"orders_never_go_back": lambda state: state["applied"] == state["highest"]}
        return Protocol("fencing", False, FIELDS, initial, self.transitions, invariants)

    def transitions(self, state):
        """Return every (label, next state)."""
        return [*self.takeovers(state), *self.orders(state), *self.arrivals(state)]

    def takeovers(self, state):
        """Yield the steps in which the lease expires and a holder gets it with the next number."""
        fence, believed, under_way, *rest = state
        if fence == MAX_FENCE:
            return
        for holder in range(HOLDERS):
            kept = (0,) * HOLDERS if self.waits else believed
            after = (*kept[:holder], fence + 1, *kept[holder + 1 :])
            next_under_way = frozenset() if self.waits else under_way
            yield f"holder {holder} takes the lease", (fence + 1, after, next_under_way, *rest)

    def orders(self, state):
        """Yield the orders that holders which assume their lease send with their number."""
        fence, believed, under_way, applied, highest, sent = state
        if sent == MAX_ORDERS:
            return
        for holder, number in enumerate(believed):
            if number:
                next_under_way = under_way | {number}
                after = (fence, believed, next_under_way, applied, highest, sent + 1)
                yield f"holder {holder} orders", after

    def arrivals(self, state):
        """Yield the steps in which an order reaches the engine, however late."""
        fence, believed, under_way, applied, highest, sent = state
        for number in under_way:
            rest = under_way - {number}
            refused = self.checks and number < highest
            now = applied if refused else number
            after = (fence, believed, rest, now, max(highest, number), sent)
            yield f"order {number} arrives", after
