"""Validation of records that operators send; each check returns a list of problems."""

import re

from ..failures import Failure, Reason
from .snapshot import kind_of

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
NAME_RULE = (
    "must start with a letter or digit and have at most 128 characters of A-Z a-z 0-9 . _ : @ -"
)
MAX_PRIORITY = 9
MAX_KEYS = 16
MAX_NAMES = 1000
MAX_CONTEXT_TOKENS = 16_000_000
ENGINE_ROLES = ("mixed", "prefill", "decode")


def validate(record, catalogue):
    """Return True, or a `Failure` that lists all problems of `record`.

    >>> from .records import Model
    >>> from .snapshot import Catalogue
    >>> validate(Model("", context_tokens=0), Catalogue()).reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    problems = name_problems(record.name)
    problems += CHECKS.get(kind_of(record), check_nothing)(record, catalogue)
    if problems:
        return Failure(Reason.BAD_REQUEST, "validate", detail="; ".join(problems))
    return True


def name_problems(name):
    """Return the problems of a record's name."""
    return [] if NAME.fullmatch(name) else [f"name {name!r}: {NAME_RULE}"]


def check_nothing(record, catalogue):
    """Return no problems, for kinds that have only a name."""
    return []


def check_organisation(record, catalogue):
    """Check limits, priority, number of keys and the names that the organisation may call."""
    problems = []
    for field in ("requests_per_second", "tokens_per_second", "concurrency"):
        value = getattr(record, field)
        if not 0 <= value < float("inf"):
            problems.append(f"{field} must be 0 (no limit) or more")
    if not 0 <= record.priority <= MAX_PRIORITY:
        problems.append(f"priority must be from 0 to {MAX_PRIORITY}")
    if len(record.key_hashes) > MAX_KEYS:
        problems.append(f"an organisation may have at most {MAX_KEYS} keys; revoke one first")
    for kind in ("model", "adapter", "service"):
        problems += missing_problems(catalogue, kind, getattr(record, kind + "s"))
    return problems


def missing_problems(catalogue, kind, names):
    """Return a problem for each of `names` for which no record of `kind` exists."""
    if len(names) > MAX_NAMES:
        return [f"at most {MAX_NAMES} {kind}s are allowed"]
    return [f"no {kind} {name!r}" for name in names if not catalogue.get(kind, name)]


def check_model(record, catalogue):
    """Check a model's version and token limits."""
    problems = [] if record.version else ["version must be set"]
    if not 1 <= record.context_tokens <= MAX_CONTEXT_TOKENS:
        problems.append(f"context_tokens must be from 1 to {MAX_CONTEXT_TOKENS}")
    if not 1 <= record.max_output_tokens <= record.context_tokens:
        problems.append("max_output_tokens must be from 1 to context_tokens")
    return problems


def check_adapter(record, catalogue):
    """Check that an adapter's model exists."""
    return missing_problems(catalogue, "model", (record.model,))


def check_placement(record, catalogue):
    """Check the role, and that the models and adapters exist and match."""
    problems = missing_problems(catalogue, "model", record.models)
    problems += missing_problems(catalogue, "adapter", record.adapters)
    if record.role not in ENGINE_ROLES:
        problems.append("role must be one of " + ", ".join(ENGINE_ROLES))
    for name in record.adapters:
        adapter = catalogue.get("adapter", name)
        if adapter and adapter.model not in record.models:
            problems.append(f"adapter {name!r} requires model {adapter.model!r}")
    return problems


CHECKS = {
    "organisation": check_organisation,
    "model": check_model,
    "adapter": check_adapter,
    "placement": check_placement,
}
"""Check for each kind that has more than a name."""
