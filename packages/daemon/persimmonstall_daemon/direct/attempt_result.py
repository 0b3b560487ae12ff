"""What an attempt of a call at an endpoint came to."""

import attrs

from persimmonstall.direct.notices import NOTHING, Notice
from persimmonstall.direct.retrying import AttemptOutcome
from persimmonstall.failures import Failure


@attrs.frozen
class AttemptResult:
    """The result of an attempt; `failure` says why it did not return a complete answer.

    `blamed_address` is the address of a helper endpoint that made the attempt fail, empty for
    none.  `batches_relayed` is how often events of the answer were relayed.  `followed_by` is the
    `PlacedAttempt` for which a silent endpoint was left, None for none.  `notice` is what the
    endpoint said about later calls.
    """

    ending: AttemptOutcome
    failure: Failure | None = None
    head: object = None
    body: bytes = b""
    blamed_address: str = ""
    batches_relayed: int = 0
    followed_by: object = None
    notice: Notice = NOTHING
