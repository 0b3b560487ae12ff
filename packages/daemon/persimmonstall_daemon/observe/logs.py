"""Structured logs: one JSON object per line, with the context of the request or peer.

Context fields are bound once, where a request or a link begins, and appear on every line logged
within that context: `request_id`, `organisation`, `attempt`, `step` and `peer`.
"""

import logging
import sys

import orjson
import structlog

CONTEXT_FIELDS = ("request_id", "organisation", "attempt", "step", "peer")


def configure(settings, stream=None):
    """Configure logging of the process; lines go to `stream`, standard error by default."""
    level = logging.getLevelNamesMapping()[settings.observe.log_level.upper()]
    target = stream or sys.stderr
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            add_daemon_fields(settings.daemon),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=serialize),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=target),
        cache_logger_on_first_use=False,
    )


def add_daemon_fields(daemon):
    """Return a structlog processor that adds the daemon's instance and role to each line."""

    def add(_logger, _method, event):
        event["instance"] = daemon.instance
        event["role"] = daemon.role
        return event

    return add


def serialize(event, **_):
    """Return the JSON text of one event; values without a JSON form become strings.

    >>> serialize({"event": "started", "size": 1j})
    '{"event":"started","size":"1j"}'
    """
    return orjson.dumps(event, default=str).decode()


def get(name):
    """Return the logger of a module; `name` is logged as the field `module`."""
    return structlog.get_logger(module=name)


def bind_context(**fields):
    """Return a context manager that adds `fields` to every line logged inside it.

    Names that are not in `CONTEXT_FIELDS` raise TypeError, so that lines stay uniform.
    """
    unknown = set(fields) - set(CONTEXT_FIELDS)
    if unknown:
        raise TypeError(f"unknown log context field: {', '.join(sorted(unknown))}")
    return structlog.contextvars.bound_contextvars(**fields)


def log_failure(logger, event, failure, **fields):
    """Log a `Failure` or `Refusal` with its reason, step and peer as a warning."""
    logger.warning(
        event,
        reason=str(failure.reason),
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
        **fields,
    )
