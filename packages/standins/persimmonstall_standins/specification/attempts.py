"""Model of the attempts of one call in direct mode, at endpoints that turn it away, break or end.

Every step calls the decision functions of the production code.  `sends_again` adds what an HTTP
client library may do by itself: send a call once more when its connection breaks, and report only
how that ended.
"""

from types import SimpleNamespace

from minicheck import Protocol

from persimmonstall.direct.messages import Route
from persimmonstall.direct.retrying import (
    AttemptHistory,
    AttemptOutcome,
    final_refusal,
    may_retry,
)
from persimmonstall.failures import Failure, Outcome, Reason

FIELDS = ("attempts", "runs", "ran", "reply")
"""Attempts and runs that the entry has counted, runs that there were, and the caller's reply."""

WAITING, WHOLE = "", "whole"
NOW, DEADLINE = 0.0, 1.0
LOST = Failure(Reason.ENDPOINT_LOST, "send")
RANDOM = SimpleNamespace(random=lambda: 0.0)

SENDINGS = (
    ("port closed", AttemptOutcome.NOT_RUN, 0),
    ("turned away", AttemptOutcome.NOT_RUN, 0),
    ("replaced", AttemptOutcome.WRONG_ENDPOINT, 0),
    ("broke", AttemptOutcome.BROKEN, 1),
    ("late", AttemptOutcome.LATE, 1),
    ("answered", AttemptOutcome.WHOLE, 1),
)
"""What may become of one sending: label, reported outcome, and how often it ran."""


def sendings():
    """Return what may become of an attempt that is sent once."""
    return SENDINGS


def sendings_again():
    """Return what may become of an attempt that the client sends once more if it breaks."""
    again = [(f"broke, then {label}", end, 1 + ran) for label, end, ran in SENDINGS]
    return (*(each for each in SENDINGS if each[0] != "broke"), *again)


class AttemptSpecification:
    """Transition system of a call that may run on `attempts` endpoints, or on one only."""

    def __init__(self, repeat, attempts, outcomes=sendings):
        route = Route("r", "h", "/", (), repeat, streaming=False, objective=0.2, attempts=attempts)
        self.routed = SimpleNamespace(route=route, deadline=DEADLINE)
        self.outcomes = outcomes

    def protocol(self):
        """Return the `Protocol` that `minicheck.check_safety` takes."""
        route = self.routed.route
        most = max(1, route.attempts) if route.repeatable else 1
        invariants = {
            "at_most_attempts": lambda state: state["ran"] <= most,
            "not_run_is_true": lambda state: state["reply"] != Outcome.NOT_RUN or not state["ran"],
            "whole_has_run": lambda state: state["reply"] != WHOLE or state["ran"] > 0,
        }
        return Protocol("attempts", False, FIELDS, (0, 0, 0, WAITING), self.steps, invariants)

    def steps(self, state):
        """Return every (label, next state): what may become of the next attempt."""
        if state[-1] != WAITING:
            return []
        return [(label, self.after(state, *end)) for label, *end in self.outcomes()]

    def after(self, state, ending, times):
        """Return the state after an attempt that ended so, and has run a number of times."""
        attempts, runs, ran, _ = state
        history = AttemptHistory(attempts=attempts, runs=runs)
        history.attempt_sent()
        history.attempt_ended("e", ending)
        reply = WAITING
        if ending is AttemptOutcome.WHOLE:
            reply = WHOLE
        elif not may_retry(self.routed, history, ending):
            reply = final_refusal(self.routed, history, LOST, NOW, RANDOM).outcome
        return history.attempts, history.runs, ran + times, reply
