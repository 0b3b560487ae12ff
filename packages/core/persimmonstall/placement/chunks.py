"""Shares of an engine step that prompts of each length class may use for their prefill."""

from ..lengths import LONG_CLASSES, LengthClass

LONG_STEP_SHARE = 0.6
MEDIUM_STEP_SHARE = 0.4
SHORT_STEP_SHARE = 0.4
"""Shares of a step's prefill token budget that one prompt of a class may use."""

MIN_CHUNK = 128
"""Smallest prefill chunk, in tokens."""


def chunk_share(length_class, prefilling):
    """Return the share of a step for a prompt of `length_class`, 0 if it has to wait.

    `prefilling` are the `QueuedAttempt`s that are being prefilled.  Each class has its own share
    of a step, so that no class waits for another's prefill to end.  Long and giant prompts have
    one prefill between them.  Medium and short prompts have two per class, or one while a prompt
    of a longer class is being prefilled.
    """
    active = [other.submit.length_class for other in prefilling]
    has_long = any(other in LONG_CLASSES for other in active)
    if length_class in LONG_CLASSES:
        return 0 if has_long else LONG_STEP_SHARE
    if length_class == LengthClass.MEDIUM:
        share, has_longer = MEDIUM_STEP_SHARE, has_long
    else:
        share, has_longer = SHORT_STEP_SHARE, any(other != LengthClass.SHORT for other in active)
    max_prefills = 1 if has_longer else 2
    return share if active.count(length_class) < max_prefills else 0
