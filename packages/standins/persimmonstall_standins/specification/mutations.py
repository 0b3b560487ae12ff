"""Mutations of the protocols, each of which the model checker must refute."""

import attrs

from persimmonstall.claims import starting
from persimmonstall.claims.starting import GiveUp, GiveUpState, Phase, Progress
from persimmonstall.direct.messages import Repeat

from .attempts import AttemptSpecification, sendings, sendings_again
from .claims import ClaimSpecification, Rules
from .fencing import FencingSpecification


def start_without_read_back(progress, answer, ticket, attempt):
    """Treat an unknown outcome of the write of a start as success."""
    after = starting.advance_start(progress, answer, ticket, attempt)
    return after.to(Phase.WON, version=1) if after.phase is Phase.READ else after


def give_up_without_read_back(give_up, answer, ticket):
    """Treat an unknown outcome of the write of a give-up as success."""
    after = starting.advance_give_up(give_up, answer, ticket)
    return after.to(GiveUpState.NOT_RUN) if after.state is GiveUpState.READ else after


def any_generation(row, write):
    """Apply a write to any row that is not started, whatever its generation."""
    return starting.version_of(row) >= write.expected and not is_taken(row)


def is_taken(row):
    """Whether a row is started or finished."""
    claim = starting.claim_of(row)
    return isinstance(claim, starting.Started | starting.Finished)


def mutations():
    """Return tuples of (name, protocol, invariant that must be refuted)."""
    one_try = Rules(
        first_start=Progress(tries=starting.MAX_TRIES),
        first_give_up=GiveUp(tries=starting.MAX_TRIES),
    )
    reply_at_once = attrs.evolve(one_try, first_give_up=GiveUp(GiveUpState.NOT_RUN))
    no_start_read = attrs.evolve(one_try, advance_start=start_without_read_back)
    no_give_up_read = attrs.evolve(one_try, advance_give_up=give_up_without_read_back)
    no_generation = attrs.evolve(
        one_try, applies=any_generation, pending=lambda _version, _write: True
    )
    pair = ("a0", "a0-copy")
    return (
        ("no read-back of the start", spec(pair, no_start_read), "at_most_once"),
        ("no read-back of the give-up", spec(pair, no_give_up_read), "not_run_is_true"),
        ("no given-up row", spec(pair, reply_at_once), "not_run_is_true"),
        ("no generation", spec(pair, no_generation), "not_run_is_true"),
        ("client sends again", call(2, sendings_again), "at_most_attempts"),
        ("client sends again, work to run once", call(1, sendings_again), "at_most_attempts"),
        ("client sends again, refusal", call(1, sendings_again), "not_run_is_true"),
        ("no fence", FencingSpecification(checks=False).protocol(), "orders_never_go_back"),
    )


def spec(names, rules):
    """Return the protocol of the claim specification under `rules`."""
    return ClaimSpecification(names, rules).protocol()


def call(attempts, outcomes=sendings):
    """Return the protocol of a call that may run on so many endpoints; on one only once."""
    repeat = Repeat.ALLOWED if attempts > 1 else Repeat.NEVER
    return AttemptSpecification(repeat, attempts, outcomes).protocol()


def checks():
    """Return (name, protocol) pairs whose invariants must all hold."""
    one_try = Rules(
        first_start=Progress(tries=starting.MAX_TRIES),
        first_give_up=GiveUp(tries=starting.MAX_TRIES),
    )
    return (
        ("claims: two daemons beside one endpoint", spec(("a0", "a0-copy"), Rules())),
        ("claims: resend through another entry", spec(("a0", "b0"), Rules())),
        ("claims: renewed ticket", spec(("a0", "a1"), Rules())),
        ("claims: two daemons and a resend", spec(("a0", "a0-copy", "b0"), one_try)),
        ("claims: table down", ClaimSpecification(("a0", "a0-copy"), one_try, True).protocol()),
        ("attempts: call that may be repeated", call(2)),
        ("attempts: work that must not run twice", call(1)),
        ("fencing: engine that checks", FencingSpecification().protocol()),
        ("fencing: pause bound waited out", FencingSpecification(False, True).protocol()),
    )
