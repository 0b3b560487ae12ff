"""Parses the body and headers of an HTTP request."""

import hashlib
import re
import urllib.parse

import attrs
import msgspec

from persimmonstall.failures import Reason, Refusal

from ...exact_headers import is_utf8
from ..request import CallerRequest

STEP = "parse"
DEADLINE_HEADER = "X-Persimmonstall-Deadline"
IDEMPOTENT_HEADER = "X-Persimmonstall-Idempotent"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 200
MAX_MODEL_LENGTH = 200
BLANKS = " \t"
"""Characters around a header's value that are no part of it; other blanks are."""

DOT_SEGMENTS = (".", "..")
CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


@attrs.frozen
class Part:
    """A part of a message's content; only text is supported."""

    type: str
    text: str = ""


@attrs.frozen
class Message:
    """One chat message."""

    role: str
    content: str | list[Part] | None = None
    name: str | None = None


@attrs.frozen
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@attrs.frozen
class ChatBody:
    """Body of `POST /v1/chat/completions`; other fields are ignored."""

    model: str
    messages: list[Message]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1


@attrs.frozen
class CompletionBody:
    """Body of `POST /v1/completions`; other fields are ignored."""

    model: str
    prompt: str | list[str]
    max_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1


@attrs.frozen
class ParsedRequest:
    """A caller's request and the requested form of its answer."""

    request: CallerRequest
    stream: bool = False
    include_usage: bool = False
    chat: bool = True


class BadRequest(ValueError):  # noqa: N818
    """An invalid request; the message is returned to the caller."""


def refuse(detail, reason=Reason.BAD_REQUEST):
    """Return the refusal of a malformed request."""
    return Refusal(reason, STEP, "", detail)


def text_header(headers, name, default=""):
    """Return the value of a header as text; raises `BadRequest` if it is not UTF-8."""
    value = headers.get(name, default)
    if not is_utf8(value):
        raise BadRequest(f"{name} is not UTF-8")
    return value


def name_of(segment):
    """Return the name in a segment of the path; raises `BadRequest` if it cannot be sent on."""
    try:
        name = urllib.parse.unquote(segment, errors="strict")
    except UnicodeDecodeError:
        raise BadRequest(f"the name {segment!r} is not UTF-8") from None
    if name in DOT_SEGMENTS or CONTROL_CHARACTER.search(name):
        raise BadRequest(f"the name {name!r} has control characters or only dots")
    return name


def secret_of(headers):
    """Return the API key from the Authorization header, empty for none or one of odd octets."""
    scheme, _, secret = headers.get("Authorization", "").partition(" ")
    return secret.strip(BLANKS) if scheme.lower() == "bearer" and is_utf8(secret) else ""


def deadline_of(headers):
    """Return the deadline in seconds, 0 if the caller gave none."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds < float("inf"):
        raise BadRequest(f"{DEADLINE_HEADER} must be a positive number of seconds")
    return seconds


def idempotent_of(headers):
    """Return whether the request may be run more than once."""
    text = headers.get(IDEMPOTENT_HEADER, "yes").strip().lower()
    if text not in ("yes", "no", "true", "false"):
        raise BadRequest(f"{IDEMPOTENT_HEADER} must be yes or no")
    return text in ("yes", "true")


def key_of(headers):
    """Return the idempotency key, or an empty string."""
    key = text_header(headers, KEY_HEADER).strip(BLANKS)
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequest(f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters")
    return key


def text_of(message):
    """Return the text of one chat message."""
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    for part in message.content:
        if part.type != "text":
            raise BadRequest(f"content parts of type {part.type!r} are not supported")
    return "".join(part.text for part in message.content)


def prompt_of(body):
    """Return the prompt of a body as bytes."""
    if isinstance(body, ChatBody):
        if not body.messages:
            raise BadRequest("messages must not be empty")
        lines = [f"{message.role}: {text_of(message)}" for message in body.messages]
        return "\n".join(lines).encode()
    if isinstance(body.prompt, list):
        if len(body.prompt) != 1:
            raise BadRequest("prompt must be a single prompt")
        return body.prompt[0].encode()
    return body.prompt.encode()


def max_tokens_of(body):
    """Return the requested maximum of output tokens, 0 if the caller gave none."""
    limit = body.max_tokens
    if isinstance(body, ChatBody) and body.max_completion_tokens is not None:
        limit = body.max_completion_tokens
    if limit is None:
        return 0
    if limit < 1:
        raise BadRequest("max_tokens must be at least 1")
    return limit


def parse_generation(kind, data, headers, request_id, now):
    """Return the `ParsedRequest` of a body, or a `Refusal`.

    `kind` is the class of the body, `ChatBody` or `CompletionBody`.
    """
    try:
        body = msgspec.json.decode(data, type=kind)
        return generation_of(body, data, headers, request_id, now)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeError) as error:
        return refuse(f"the body is not valid: {error}")
    except BadRequest as error:
        return refuse(str(error))


def generation_of(body, data, headers, request_id, now):
    """Return the `ParsedRequest` of a decoded body; raises `BadRequest`."""
    if not body.model or len(body.model) > MAX_MODEL_LENGTH:
        raise BadRequest("model is empty or too long")
    if body.n not in (None, 1):
        raise BadRequest("n must be 1")
    prompt = prompt_of(body)
    if not prompt:
        raise BadRequest("the prompt must not be empty")
    request = CallerRequest(
        request_id=request_id,
        secret=secret_of(headers),
        prompt=prompt,
        body_hash=hashlib.sha256(data).hexdigest(),
        arrived=now,
        model=body.model,
        max_tokens=max_tokens_of(body),
        deadline=deadline_of(headers),
        idempotent=idempotent_of(headers),
        key=key_of(headers),
    )
    options = body.stream_options or StreamOptions()
    return ParsedRequest(
        request, bool(body.stream), options.include_usage, isinstance(body, ChatBody)
    )


def parse_service(segments, data, headers, request_id, now):
    """Return the `ParsedRequest` of a call of a plain service, or a `Refusal`.

    `segments` are those of the path that name the service and its method.
    """
    try:
        service, method = map(name_of, segments)
        request = CallerRequest(
            request_id=request_id,
            secret=secret_of(headers),
            prompt=data,
            body_hash=hashlib.sha256(method.encode() + b"\0" + data).hexdigest(),
            arrived=now,
            deadline=deadline_of(headers),
            service=service,
            method=method,
            content_type=text_header(headers, "Content-Type", "application/json"),
            idempotent=idempotent_of(headers),
            key=key_of(headers),
        )
    except BadRequest as error:
        return refuse(str(error))
    return ParsedRequest(request)
