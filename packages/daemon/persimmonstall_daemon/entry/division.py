"""State of a request whose prompt is divided among several engines."""

import asyncio

import attrs

from persimmonstall.memory.long_prompt import Generate, LongPrompt, PartState

from .request_state import RequestState


@attrs.define(eq=False)
class Division:
    """State of one divided prompt; times are in seconds of the local clock.

    `mailbox` receives the messages about all parts.  `exchanges` maps each reservation to the
    `Exchange` of its prefill.  `confirmed_at` maps each reservation to the time when it was last
    confirmed, and `avoided` holds the endpoints that refused or lost a part.  `generate` is set
    once all parts are held.  `lost_at` is the time since when parts have been lost, 0 while none
    is lost.
    """

    state: RequestState
    mailbox: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    prompt: LongPrompt | None = None
    exchanges: dict = attrs.field(factory=dict)
    confirmed_at: dict = attrs.field(factory=dict)
    avoided: set = attrs.field(factory=set)
    generate: Generate | None = None
    renew_at: float = 0.0
    lost_at: float = 0.0

    @property
    def has_lost_part(self):
        """Whether a part is lost, or all parts were released."""
        return self.prompt is None or bool(self.prompt.in_state(PartState.LOST))
