"""What one engine has to prefill and hold of a request."""


def prompt_span(submit):
    """Return the prompt tokens [start, end) that the engine itself prefills for a `Submit`.

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
    """Return the prompt tokens that the engine itself has to hold for a `Submit`."""
    start, end = prompt_span(submit)
    return end - start


def expected_tokens(submit):
    """Return the tokens of memory that an attempt is expected to reach.

    A segment's memory is reserved beforehand and counts as nothing here.
    """
    if submit.segment_end:
        return 0
    return own_prompt_tokens(submit) + max(submit.predicted_tokens, len(submit.relayed))
