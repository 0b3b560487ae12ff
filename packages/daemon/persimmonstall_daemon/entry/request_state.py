"""State of a request while its attempts run."""

import attrs


@attrs.define
class RequestState:
    """State of one request: its exchange, its current attempt and the endpoints to avoid.

    `peer_run` identifies the process of the endpoint daemon that has the attempt, and
    `answering_attempt` is the attempt that has sent tokens last.  `may_have_run` is set when an
    attempt may have been run.  `credited_tokens` counts the tokens up to the last credit.
    `segments` refer to the parts of a divided prompt.  `version` and `adapter_version` are those
    of the weights that the current attempt uses.
    """

    work: object
    sink: object
    exchange: object
    attempt: int = 0
    endpoint: str = ""
    peer_run: str = ""
    may_have_run: bool = False
    avoided: set = attrs.field(factory=set)
    first_token_at: float = 0.0
    answering_attempt: int = 0
    credited_tokens: int = 0
    segments: tuple = ()
    version: str = ""
    adapter_version: str = ""

    @property
    def tokens(self):
        """The output tokens received so far; all of them went to the caller."""
        return self.exchange.assembly.tokens
