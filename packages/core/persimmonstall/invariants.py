"""Runtime checks of invariants.

The daemon counts and logs violations; tests raise them.  The decision logic has no logger of its
own, so the daemon passes in a callback.
"""

from collections import Counter


class InvariantError(AssertionError):
    """An invariant was violated, which is always a bug and never a user's error."""


class Invariants:
    """Counts checks and violations by name.

    `strict` raises on a violation (tests); otherwise `on_violation(name, detail)` is called.
    """

    def __init__(self, strict=False, on_violation=None):
        self.strict = strict
        self.on_violation = on_violation
        self.checked = Counter()
        self.violated = Counter()

    def check(self, name, holds, detail=""):
        """Record one check of invariant `name`; return whether it holds.

        >>> Invariants().check("ledger_balanced", 1 + 1 == 2)
        True
        """
        self.checked[name] += 1
        if holds:
            return True
        self.violated[name] += 1
        if self.strict:
            raise InvariantError(f"{name}: {detail}")
        if self.on_violation:
            self.on_violation(name, detail)
        return False
