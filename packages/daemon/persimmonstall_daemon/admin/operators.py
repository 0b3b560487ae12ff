"""Authentication of operators by key; the key file holds only hashes of the keys."""

import hashlib
import hmac

from persimmonstall.failures import Failure, Reason

from ..watched_file import WatchedFile

STEP = "authenticate_operator"
SCHEME = "Bearer "


def hash_key(key):
    """Return the SHA-256 hash (hex) of a key, as stored in the key file and in the table.

    >>> hash_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse_hashes(content):
    r"""Return the hashes in the content of a key file: one per line, with comments after `#`.

    >>> parse_hashes(b"AB  # anna\n\n# all\ncd")
    ('ab', 'cd')
    """
    lines = content.decode("utf-8", "replace").splitlines()
    hashes = (line.split("#")[0].strip().lower() for line in lines)
    return tuple(one for one in hashes if one)


class OperatorKeys:
    """Checks operators' keys against the key file, which it reloads when the file changes.

    Without a key file in the settings every call is rejected.
    """

    def __init__(self, settings):
        self.settings = settings
        self.file = WatchedFile(settings.security.operator_keys)
        self.hashes = ()

    def check(self, authorization):
        """Return True, or a `Failure` if the `authorization` header holds no valid key."""
        if self.file.refresh():
            self.hashes = parse_hashes(self.file.content)
        given_hash = hash_key(authorization.removeprefix(SCHEME))
        matches = [hmac.compare_digest(given_hash, one) for one in self.hashes]
        if authorization.startswith(SCHEME) and any(matches):
            return True
        detail = "unknown operator key" if authorization else "missing operator key"
        return Failure(Reason.UNAUTHENTICATED, STEP, self.settings.daemon.instance, detail)
