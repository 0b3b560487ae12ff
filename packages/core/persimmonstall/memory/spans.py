"""Prompt range and memory of a request on one engine."""


def prompt_span(submit):
    """Return the range [start, end) of prompt tokens that the engine prefills for a `Submit`.

    >>> from ..messages.requests import Submit
    >>> prompt_span(Submit("r", 1, "e", "o", b"", 9.0, prompt_tokens=70))
    (0, 70)
    >>> prompt_span(Submit("r", 1, "e", "o", b"", 9.0, segment_start=10, segment_end=20))
    (10, 20)
    """
    if submit.segment_end:
        return submit.segment_start, submit.segment_end
    return max((ref.end for ref in submit.segments), default=0), submit.prompt_tokens


def own_prompt_tokens(submit):
    """Return the number of prompt tokens that the engine itself prefills for a `Submit`."""
    start, end = prompt_span(submit)
    return end - start


def expected_tokens(submit):
    """Return the memory in tokens that an attempt is expected to reach.

    A segment counts as 0, because its memory is reserved beforehand.
    """
    if submit.segment_end:
        return 0
    return own_prompt_tokens(submit) + max(submit.predicted_tokens, len(submit.relayed))
