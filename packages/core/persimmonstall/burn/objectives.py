"""Service-level objectives and the evaluation of requests against them."""

import enum

import attrs


class Objective(enum.StrEnum):
    """A service-level objective."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    IN_TIME = "in_time"
    SERVED = "served"


ORDER = tuple(Objective)
"""Order of the objectives in `BurnCounts`."""


@attrs.frozen
class RequestResult:
    """Measurements of one finished or refused request; times in seconds.

    `first_token` and `between_tokens` are None if there were no such tokens.  `refused` means
    that the request was refused without being run.
    """

    organisation: str
    length_class: str
    first_token: float | None = None
    between_tokens: float | None = None
    in_time: bool = True
    refused: bool = False


def target_share(objectives, objective):
    """Return the share of requests that must meet `objective`."""
    shares = {Objective.IN_TIME: objectives.in_time, Objective.SERVED: objectives.served}
    return shares.get(objective, objectives.share)


def first_token_limit(objectives, length_class):
    """Return the longest time to first token for a length class, in seconds."""
    limits = {
        "medium": objectives.first_token_medium,
        "long": objectives.first_token_long,
        "giant": objectives.first_token_giant,
    }
    return limits.get(length_class, objectives.first_token)


def evaluate(result, objectives):
    """Return an (objective, met) pair for each objective that applies to a request.

    >>> from persimmonstall.settings.schema import Objectives
    >>> evaluate(RequestResult("o", "short", first_token=0.5), Objectives())[1]
    (<Objective.FIRST_TOKEN: 'first_token'>, False)
    """
    results = [(Objective.SERVED, not result.refused)]
    if result.refused:
        return results
    if result.first_token is not None:
        limit = first_token_limit(objectives, result.length_class)
        results.append((Objective.FIRST_TOKEN, result.first_token <= limit))
    if result.between_tokens is not None:
        met = result.between_tokens <= objectives.between_tokens
        results.append((Objective.BETWEEN_TOKENS, met))
    results.append((Objective.IN_TIME, result.in_time))
    return results
