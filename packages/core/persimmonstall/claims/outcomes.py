"""What a caller may truthfully be told about keyed work that was not served."""

import attrs

from ..failures import Failure, Outcome, Reason, Refusal
from ..messages.requests import ClaimTicket
from .planning import STEP, Replay, claim_of, in_flight, key_conflict
from .starting import GiveUpState

DOWN_RETRY = 2.0
"""Seconds after which a caller may try again while the table is out of reach."""


def before_claim(work, refusal):
    """Return what to tell of work that was refused before its claim was read.

    A caller's own key may have run through another entry, so only a key that this entry made
    is known not to have run.
    """
    if work.idempotent or work.key_made or not work.key:
        return refusal
    return attrs.evolve(refusal, outcome=Outcome.UNKNOWN, key=work.key)


def table_refusal(work, failure):
    """Return the refusal of work whose claim could not be read."""
    refusal = Refusal(
        Reason.TABLE_DOWN,
        STEP,
        failure.peer or "table",
        failure.detail,
        Outcome.NOT_RUN,
        DOWN_RETRY,
        work.key,
    )
    return before_claim(work, refusal)


def next_ticket(ticket, give_up, wall):
    """Return the ticket of the generation after the one that was given up."""
    generation = give_up.generation + 1
    return ClaimTicket(ticket.row, generation, ticket.body_hash, give_up.version, wall)


def after_give_up(work, refusal, give_up):
    """Return the `Refusal` to tell, or a `Replay` when the work has finished after all."""
    if give_up.state is GiveUpState.NOT_RUN:
        return attrs.evolve(refusal, outcome=Outcome.NOT_RUN, key=work.key)
    if give_up.state is GiveUpState.UNSURE:
        return unsure(work, refusal)
    claim = claim_of(give_up.row)
    if claim.body_hash != work.ticket.body_hash:
        return key_conflict(work.key)
    if give_up.state is GiveUpState.FINISHED:
        return Replay(claim.answer)
    if refusal.outcome is Outcome.NOT_RUN:
        return in_flight(work.key, claim.endpoint)
    return attrs.evolve(refusal, outcome=Outcome.UNKNOWN, key=work.key)


def unsure(work, refusal):
    """Return what to tell when the give-up is not known to have been written.

    Nobody else can carry a key made here, so the pipeline's own word on its attempts stands.
    """
    if work.key_made:
        return attrs.evolve(refusal, key=work.key)
    return attrs.evolve(refusal, outcome=Outcome.UNKNOWN, key=work.key)


def too_late(peer):
    """Return the endpoint's failure when the deadline passed before the hand-over."""
    return Failure(Reason.DEADLINE, STEP, peer, "the deadline passed before the hand-over")
