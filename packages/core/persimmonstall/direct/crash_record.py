"""What the directory keeps of the contents and parts of prompts that crash endpoints."""

import enum

import attrs


class RecordKind(enum.Enum):
    """What a record is about: a part of prompts, or the whole content of a call."""

    PART = "part"
    CONTENT = "content"


@attrs.frozen
class CrashRecord:
    """A blocked part or content, by its fingerprint `key`, and the number of its crashes.

    `lifetimes` are those of the endpoints that a content crashed, empty for a part.  `age` is the
    time in seconds since the last crash.
    """

    key: str
    crashes: int
    lifetimes: tuple[tuple[str, int], ...] = ()
    age: float = 0.0
