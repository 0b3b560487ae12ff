"""Fingerprints by which calls with the same content are known, whoever sends them."""

import xxhash

BODY_PREFIX = "body-"
"""Start of the name of the part of a call that is its whole body."""


def content_fingerprint(call):
    """Return the fingerprint of a call's content; it is the same each time the call is sent.

    The API key is no part of it: what a content does to an endpoint does not depend on it.
    """
    digest = xxhash.xxh3_64(f"{call.method} {call.host}{call.target} ".encode())
    digest.update(call.body)
    return digest.hexdigest()


def call_parts(call):
    """Return the names of the parts of a call that other calls may share.

    They are those of its prompt; a call without any has its body as one, if it is not empty.

    >>> from .messages import Call
    >>> call = Call("c", "POST", "/f/x", "h", (), b"body", 0.0, 1.0)
    >>> call_parts(call)
    ('body-84f2c8ee187fe1fa',)
    """
    if call.shared_parts or not call.body:
        return call.shared_parts
    return (BODY_PREFIX + xxhash.xxh3_64_hexdigest(call.body),)


def is_body(part):
    """Return whether a part is the whole body of a call."""
    return part.startswith(BODY_PREFIX)
