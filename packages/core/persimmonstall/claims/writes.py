"""The conditional writes of the claim protocol."""

from ..outside.table import Write
from .records import TABLE, Finished, GivenUp, Started, encode_claim


def start_write(ticket, attempt, endpoint, wall):
    """Return the write that claims the ticket's generation for `attempt`."""
    claim = Started(ticket.generation, ticket.body_hash, wall, attempt, endpoint)
    return Write(TABLE, ticket.row, ticket.expected, encode_claim(claim))


def give_up_write(ticket, wall):
    """Return the write after which no attempt can start the ticket's generation."""
    claim = GivenUp(ticket.generation, ticket.body_hash, wall)
    return Write(TABLE, ticket.row, ticket.expected, encode_claim(claim))


def abandon_write(ticket, version, wall):
    """Return the write by which the holder of a claim gives it up without a hand-over.

    Only the daemon that runs the attempt may write this, and it must not hand over afterwards.
    """
    claim = GivenUp(ticket.generation, ticket.body_hash, wall)
    return Write(TABLE, ticket.row, version, encode_claim(claim))


def finish_write(ticket, version, attempt, answer, wall):
    """Return the write that replaces the holder's "started" at `version` by the answer."""
    claim = Finished(ticket.generation, ticket.body_hash, wall, attempt, answer)
    return Write(TABLE, ticket.row, version, encode_claim(claim))
