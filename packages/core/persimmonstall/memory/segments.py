"""Division of a prompt larger than one engine's memory among several engines.

Only a fixed fraction of the engines may hold such parts, so that short prompts always find
engines without them.  The choice is deterministic: every entry arrives at the same engines
without coordination.  Lengths and memory are in tokens.
"""

import math

import attrs

from ..failures import Failure, Reason
from ..placement.view import stable_rank

STEP = "segments"

WHOLE_SHARE = 0.75
"""Fraction of the largest engine's memory above which a request is divided."""

PART_SHARE = 0.9
"""Fraction of an engine's memory that one part may take."""

LEAST_PART = 16_384
"""Minimum free memory of an engine that is given a part."""


@attrs.frozen
class Room:
    """Free and total memory of one engine, in tokens."""

    endpoint: str
    free: int
    total: int

    @property
    def usable(self):
        """Tokens that a part may take now."""
        return min(self.free, int(self.total * PART_SHARE))


@attrs.frozen
class Share:
    """Prompt tokens [start, end) for one engine; `tokens` also counts memory for the output."""

    endpoint: str
    start: int
    end: int
    tokens: int


def needs_division(tokens, rooms):
    """Return whether a request of `tokens` in total is too large for any single engine.

    >>> needs_division(350_000, [Room("e1", 0, 400_000)])
    True
    """
    largest = max((room.total for room in rooms), default=0)
    return bool(largest) and tokens > WHOLE_SHARE * largest


def eligible(rooms, share):
    """Return the engines that may hold parts of long prompts.

    >>> rooms = [Room(f"e{number}", 1, 1) for number in range(10)]
    >>> len(eligible(rooms, 0.6)), eligible(rooms, 0.6) == eligible(rooms[::-1], 0.6)
    (6, True)
    """
    ranked = sorted(rooms, key=lambda room: (stable_rank(room.endpoint), room.endpoint))
    return ranked[: math.floor(len(ranked) * share + 1e-9)]


def divide(prompt_tokens, output_tokens, rooms, avoided=frozenset()):
    """Return the `Share`s of a prompt over as few engines as possible, or a `Failure`.

    The last share belongs to the engine that will generate.  The last prompt token is left
    out, since that engine processes it to begin the output.
    """
    needed = prompt_tokens - 1 + output_tokens + 1
    most = sum(int(room.total * PART_SHARE) for room in rooms)
    if needed > most:
        detail = f"{needed} tokens; engines for long prompts hold {most}"
        return Failure(Reason.PROMPT_TOO_LONG, STEP, detail=detail)
    free = [room for room in rooms if room.usable >= LEAST_PART and room.endpoint not in avoided]
    free.sort(key=lambda room: (-room.usable, room.endpoint))
    chosen = fewest(free, needed, output_tokens + 1)
    if not chosen:
        return Failure(
            Reason.BUSY, STEP, detail="not enough free memory on the engines for long prompts"
        )
    return spread(chosen, prompt_tokens - 1, output_tokens + 1)


def fewest(free, needed, output):
    """Return the fewest engines that hold `needed` tokens, largest first; empty if too small."""
    if not free or free[0].usable <= output:
        return []
    total = 0
    for count, room in enumerate(free, 1):
        total += room.usable
        if total >= needed:
            return free[:count]
    return []


def spread(chosen, length, output):
    """Return shares as even as the free memory allows; the largest engine gets the output."""
    limits = [room.usable for room in chosen]
    limits[0] -= output
    order = sorted(range(len(chosen)), key=lambda number: limits[number])
    sizes = [0] * len(chosen)
    left = length
    for position, number in enumerate(order):
        even = math.ceil(left / (len(order) - position))
        sizes[number] = min(limits[number], even)
        left -= sizes[number]
    return cut(chosen, sizes, output)


def cut(chosen, sizes, output):
    """Return shares of these sizes in prompt order; the first engine gets the last one."""
    shares = []
    start = 0
    for number in [*range(1, len(chosen)), 0]:
        end = start + sizes[number]
        extra = 0 if number else output
        if end > start:
            room = chosen[number]
            shares.append(Share(room.endpoint, start, end, sizes[number] + extra))
        start = end
    return tuple(shares)
