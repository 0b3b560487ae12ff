"""Division of a prompt larger than one engine's memory among several engines.

Only a fixed fraction of the engines may hold such parts, so that short prompts always find
engines without them.  The choice is deterministic: every entry arrives at the same engines
without coordination.  Lengths and memory are in tokens.
"""

import math

import attrs

from ..failures import Failure, Reason
from ..placement.pools import stable_rank

STEP = "segments"

DIVISION_SHARE = 0.75
"""Fraction of the largest engine's memory above which a request is divided."""

MAX_PART_SHARE = 0.9
"""Fraction of an engine's memory that one part may take."""

MIN_PART_TOKENS = 16_384
"""Minimum free memory of an engine that is given a part."""


@attrs.frozen
class EngineMemory:
    """Free and total memory of one engine, in tokens."""

    endpoint: str
    free: int
    total: int

    @property
    def usable(self):
        """Tokens that a part may take now."""
        return min(self.free, int(self.total * MAX_PART_SHARE))


@attrs.frozen
class Assignment:
    """Prompt tokens [start, end) for one engine; `tokens` also counts memory for the output."""

    endpoint: str
    start: int
    end: int
    tokens: int


def needs_division(tokens, engines):
    """Return whether a request of `tokens` in total is too large for any single engine.

    >>> needs_division(350_000, [EngineMemory("e1", 0, 400_000)])
    True
    """
    largest = max((engine.total for engine in engines), default=0)
    return bool(largest) and tokens > DIVISION_SHARE * largest


def eligible(engines, share):
    """Return the engines that may hold parts of long prompts.

    >>> engines = [EngineMemory(f"e{number}", 1, 1) for number in range(10)]
    >>> len(eligible(engines, 0.6)), eligible(engines, 0.6) == eligible(engines[::-1], 0.6)
    (6, True)
    """
    ranked = sorted(engines, key=lambda engine: (stable_rank(engine.endpoint), engine.endpoint))
    return ranked[: math.floor(len(ranked) * share + 1e-9)]


def divide(prompt_tokens, output_tokens, engines, avoided=frozenset()):
    """Return the `Assignment`s of a prompt over as few engines as possible, or a `Failure`.

    The last assignment belongs to the engine that will generate.  The last prompt token is left
    out, since that engine processes it to begin the output.
    """
    needed = prompt_tokens - 1 + output_tokens + 1
    capacity = sum(int(engine.total * MAX_PART_SHARE) for engine in engines)
    if needed > capacity:
        detail = f"{needed} tokens; engines for long prompts hold {capacity}"
        return Failure(Reason.PROMPT_TOO_LONG, STEP, detail=detail)
    free = [
        engine
        for engine in engines
        if engine.usable >= MIN_PART_TOKENS and engine.endpoint not in avoided
    ]
    free.sort(key=lambda engine: (-engine.usable, engine.endpoint))
    chosen = choose_fewest(free, needed, output_tokens + 1)
    if not chosen:
        return Failure(
            Reason.BUSY, STEP, detail="not enough free memory on the engines for long prompts"
        )
    return spread_evenly(chosen, prompt_tokens - 1, output_tokens + 1)


def choose_fewest(free, needed, output):
    """Return the fewest engines that can hold `needed` tokens, largest first.

    The list is empty if all together are too small, or the largest has no room beside `output`.
    """
    if not free or free[0].usable <= output:
        return []
    total = 0
    for count, engine in enumerate(free, 1):
        total += engine.usable
        if total >= needed:
            return free[:count]
    return []


def spread_evenly(chosen, length, output):
    """Return assignments as even as the free memory allows.

    The largest engine is also assigned the output.
    """
    limits = [engine.usable for engine in chosen]
    limits[0] -= output
    order = sorted(range(len(chosen)), key=lambda number: limits[number])
    sizes = [0] * len(chosen)
    left = length
    for position, number in enumerate(order):
        even = math.ceil(left / (len(order) - position))
        sizes[number] = min(limits[number], even)
        left -= sizes[number]
    return make_assignments(chosen, sizes, output)


def make_assignments(chosen, sizes, output):
    """Return assignments of these sizes in prompt order.

    The first of the `chosen` engines gets the end of the prompt and the output.
    """
    assignments = []
    start = 0
    for number in [*range(1, len(chosen)), 0]:
        end = start + sizes[number]
        extra = 0 if number else output
        if end > start:
            engine = chosen[number]
            assignments.append(Assignment(engine.endpoint, start, end, sizes[number] + extra))
        start = end
    return tuple(assignments)
