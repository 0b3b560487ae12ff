"""The conditional writes of the claim protocol."""

from ..outside.table import Write
from .records import TABLE, Finished, GivenUp, Started, encode_claim


def start_write(ticket, attempt, endpoint, wall):
    """Return the write that claims the ticket's generation for `attempt`."""
    claim = Started(ticket.generation, ticket.body_hash, wall, attempt, endpoint)
    return Write(TABLE, ticket.row, ticket.expected, encode_claim(claim))


def give_up_write(ticket, wall):
    """Return the write that makes sure that nobody starts the ticket's generation."""
    claim = GivenUp(ticket.generation, ticket.body_hash, wall)
    return Write(TABLE, ticket.row, ticket.expected, encode_claim(claim))


def abandon_write(ticket, version, wall):
    """Return the holder's write that it won the row but did not hand the call over.

    Only the holder of the attempt may write this, and it never hands over after it.
    """
    claim = GivenUp(ticket.generation, ticket.body_hash, wall)
    return Write(TABLE, ticket.row, version, encode_claim(claim))


def finish_write(ticket, version, attempt, answer, wall):
    """Return the holder's write of the answer over its own "started" at `version`."""
    claim = Finished(ticket.generation, ticket.body_hash, wall, attempt, answer)
    return Write(TABLE, ticket.row, version, encode_claim(claim))
