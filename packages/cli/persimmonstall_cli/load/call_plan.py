"""Plans a load of plain calls of several methods, with and without a body, from a seed."""

from random import Random

import attrs

DEFAULT_METHODS = ("GET", "PUT", "DELETE", "OPTIONS", "POST")


@attrs.frozen
class CallOptions:
    """Parameters of a load of plain calls.

    Calls are sent to the path `target` for `seconds` at a mean `rate` per second; `body_share` of
    them have a body of `body_bytes`.  `headers` are (name, value) pairs; `timeout` is in seconds.
    """

    target: str
    methods: tuple[str, ...] = DEFAULT_METHODS
    rate: float = 20.0
    seconds: float = 10.0
    body_bytes: int = 600
    body_share: float = 0.5
    headers: tuple[tuple[str, str], ...] = ()
    timeout: float = 5.0
    seed: int = 1


@attrs.frozen
class PlannedCall:
    """One call: sent `send_time` seconds after the start."""

    number: int
    send_time: float
    method: str
    body_bytes: int


def plan_calls(options):
    """Return the `PlannedCall`s of `CallOptions`, an open loop with Poisson arrivals.

    >>> plan_calls(CallOptions("/a", seed=3)) == plan_calls(CallOptions("/a", seed=3))
    True
    """
    random = Random(options.seed)
    planned = []
    send_time = random.expovariate(options.rate)
    while send_time < options.seconds:
        method = random.choice(options.methods)
        size = options.body_bytes if random.random() < options.body_share else 0
        planned.append(PlannedCall(len(planned), send_time, method, size))
        send_time += random.expovariate(options.rate)
    return tuple(planned)
