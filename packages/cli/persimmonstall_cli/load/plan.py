"""Plans a load: all requests and their send times, reproducible from a seed."""

from random import Random

import attrs

from .mix import DEFAULT_MIX, draw_length, parse_mix


@attrs.frozen
class LoadOptions:
    """Parameters of a load.

    Requests are sent for `seconds` at a mean `rate` per second. `max_tokens` is each request's
    limit of output tokens. `deadline` is in seconds, 0 for the entry's default. `token_bytes` is
    the mean number of prompt bytes per token.
    """

    rate: float = 5.0
    seconds: float = 20.0
    mix: str = DEFAULT_MIX
    max_tokens: int = 4096
    deadline: float = 0.0
    model: str = ""
    stream_share: float = 1.0
    seed: int = 1
    token_bytes: float = 4.0


@attrs.frozen
class PlannedRequest:
    """One request: sent `send_time` seconds after the start, with a prompt of `tokens` tokens."""

    number: int
    send_time: float
    tokens: int
    stream: bool


def plan_requests(load):
    """Return the `PlannedRequest`s of a `LoadOptions`.

    Arrivals are Poisson and do not depend on earlier responses (open loop).

    >>> plan_requests(LoadOptions(seed=3)) == plan_requests(LoadOptions(seed=3))
    True
    """
    random = Random(load.seed)
    ranges = parse_mix(load.mix)
    planned = []
    send_time = random.expovariate(load.rate)
    while send_time < load.seconds:
        tokens = draw_length(ranges, random)
        stream = random.random() < load.stream_share
        planned.append(PlannedRequest(len(planned), send_time, tokens, stream))
        send_time += random.expovariate(load.rate)
    return tuple(planned)


def make_prompt(planned, load):
    """Return the text of a prompt, unique to the seed and the request's number.

    Prompts differ in their first word, so they have no prefix in common.

    >>> len(make_prompt(PlannedRequest(1, 0.0, 1000, True), LoadOptions()))
    4000
    """
    size = max(1, round(planned.tokens * load.token_bytes))
    word = f"{load.seed}.{planned.number} "
    return (word * (size // len(word) + 1))[:size]
