"""Renders answers and refusals as HTTP bodies, headers and server-sent events."""

import math

import orjson

from persimmonstall.failures import HTTP_STATUS, Reason, status_of

CLIENT_ERRORS = frozenset(reason for reason, status in HTTP_STATUS.items() if status < 500)
ERROR_TYPES = {
    Reason.UNAUTHENTICATED: "authentication_error",
    Reason.FORBIDDEN: "permission_error",
    Reason.SUSPENDED: "permission_error",
    Reason.RATE_LIMITED: "rate_limit_error",
    Reason.CONCURRENCY_LIMITED: "rate_limit_error",
}
OUTCOME_HEADER = "X-Persimmonstall-Outcome"
REQUEST_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
DONE = b"data: [DONE]\n\n"


def error_body(refusal, request_id=""):
    """Return the error object of a refusal.

    `outcome` is "not_run" if the request was certainly not run and "unknown" if it may have been.
    `code` is the stable reason code.
    """
    default = "invalid_request_error" if refusal.reason in CLIENT_ERRORS else "server_error"
    error = {
        "message": refusal.detail or refusal.reason.replace("_", " "),
        "type": ERROR_TYPES.get(refusal.reason, default),
        "code": str(refusal.reason),
        "param": None,
        "outcome": str(refusal.outcome),
        "step": refusal.step,
        "peer": refusal.peer,
        "request_id": request_id,
    }
    if refusal.retry_after is not None:
        error["retry_after"] = round(refusal.retry_after, 3)
    if refusal.key:
        error["idempotency_key"] = refusal.key
    return {"error": error}


def error_headers(refusal, request_id=""):
    """Return the headers of a refusal."""
    headers = {OUTCOME_HEADER: str(refusal.outcome), REQUEST_HEADER: request_id}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    if refusal.key:
        headers[KEY_HEADER] = refusal.key
    return headers


def usage_of(prompt_tokens, answer):
    """Return the usage block of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer.count,
        "total_tokens": prompt_tokens + answer.count,
        "prompt_tokens_details": {"cached_tokens": answer.cached},
    }


def answer_body(parsed, created, text, answer, prompt_tokens):
    """Return the body of an answer that is not streamed."""
    choice = {"index": 0, "finish_reason": answer.finish, "logprobs": None}
    if parsed.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = common_fields(parsed, created, "chat.completion" if parsed.chat else "text_completion")
    body["choices"] = [choice]
    body["usage"] = usage_of(prompt_tokens, answer)
    return body


def common_fields(parsed, created, kind):
    """Return the first fields of every answer object."""
    prefix = "chatcmpl-" if parsed.chat else "cmpl-"
    return {
        "id": prefix + parsed.request.request_id,
        "object": kind,
        "created": created,
        "model": parsed.request.model,
    }


def chunk_body(parsed, created, text, finish=None, first=False):
    """Return one streamed chunk object."""
    choice = {"index": 0, "finish_reason": finish, "logprobs": None}
    if parsed.chat:
        delta = {"content": text} if text else {}
        if first:
            delta["role"] = "assistant"
        choice["delta"] = delta
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if parsed.chat else "text_completion"
    body = common_fields(parsed, created, kind)
    body["choices"] = [choice]
    return body


def usage_chunk(parsed, created, answer, prompt_tokens):
    """Return the last chunk object, which has the usage and no choices."""
    body = chunk_body(parsed, created, "")
    body["choices"] = []
    body["usage"] = usage_of(prompt_tokens, answer)
    return body


def event(body):
    r"""Return a server-sent event that carries `body`.

    >>> event({"a": 1})
    b'data: {"a":1}\n\n'
    """
    return b"data: " + orjson.dumps(body) + b"\n\n"


def http_status(refusal):
    """Return the HTTP status of a refusal."""
    return status_of(refusal.reason)
