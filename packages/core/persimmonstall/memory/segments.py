"""How a prompt larger than an engine is divided among several.

Only a fixed share of the engines may hold such parts, the same ones for every entry and
without any agreement, so that short prompts always find engines without them.  Lengths and
memory are in tokens.
"""

import math

import attrs

from ..failures import Failure, Reason
from ..placement.view import stable_rank

STEP = "segments"

WHOLE_SHARE = 0.75
"""Share of the largest engine above which a prompt is divided."""

PART_SHARE = 0.9
"""Share of an engine's memory that one part may take."""

MIN_PART = 16_384
"""Free memory below which an engine gets no part."""


@attrs.frozen
class EngineMemory:
    """Free and total memory of one engine."""

    endpoint: str
    free: int
    total: int

    @property
    def usable(self):
        """Tokens that a part may take now."""
        return min(self.free, int(self.total * PART_SHARE))


@attrs.frozen
class Assignment:
    """Prompt tokens [start, end) on one engine; `tokens` includes room for the output."""

    endpoint: str
    start: int
    end: int
    tokens: int


def needs_division(tokens, engines):
    """Whether a request of `tokens` in all is too large for any single engine.

    >>> needs_division(350_000, [EngineMemory("e1", 0, 400_000)])
    True
    """
    largest = max((engine.total for engine in engines), default=0)
    return bool(largest) and tokens > WHOLE_SHARE * largest


def eligible(engines, share):
    """Return the rooms of the engines that may hold parts of long prompts.

    >>> engines = [EngineMemory(f"e{number}", 1, 1) for number in range(10)]
    >>> len(eligible(engines, 0.6)), eligible(engines, 0.6) == eligible(engines[::-1], 0.6)
    (6, True)
    """
    ranked = sorted(engines, key=lambda engine: (stable_rank(engine.endpoint), engine.endpoint))
    return ranked[: math.floor(len(ranked) * share + 1e-9)]


def divide(prompt_tokens, output_tokens, engines, avoided=frozenset()):
    """Return the `Assignment`s of a prompt over as few engines as hold it, or a `Failure`.

    The last share belongs to the engine that will generate.  Its prompt token is left out:
    the engine runs it to begin the output.
    """
    needed = prompt_tokens - 1 + output_tokens + 1
    most = sum(int(engine.total * PART_SHARE) for engine in engines)
    if needed > most:
        detail = f"{needed} tokens; engines for long prompts hold {most}"
        return Failure(Reason.PROMPT_TOO_LONG, STEP, detail=detail)
    free = [
        engine
        for engine in engines
        if engine.usable >= MIN_PART and engine.endpoint not in avoided
    ]
    free.sort(key=lambda engine: (-engine.usable, engine.endpoint))
    chosen = fewest(free, needed, output_tokens + 1)
    if not chosen:
        return Failure(Reason.BUSY, STEP, detail="no room on the engines for long prompts")
    return spread(chosen, prompt_tokens - 1, output_tokens + 1)


def fewest(free, needed, output):
    """Return the fewest rooms, largest first, that hold `needed` tokens; empty if none do."""
    if not free or free[0].usable <= output:
        return []
    total = 0
    for count, engine in enumerate(free, 1):
        total += engine.usable
        if total >= needed:
            return free[:count]
    return []


def spread(chosen, length, output):
    """Return shares as even as the rooms allow; the largest room also holds the output."""
    limits = [engine.usable for engine in chosen]
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
    """Return the shares of these sizes in the order of the prompt, the first room's last."""
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
