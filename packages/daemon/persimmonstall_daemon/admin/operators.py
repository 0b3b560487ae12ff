"""Authentication of operators by key; only hashes of the keys are kept in a file."""

import hashlib
import hmac

from persimmonstall.failures import Failure, Reason

from ..watched_file import WatchedFile

STEP = "authenticate_operator"
SCHEME = "Bearer "


def hash_key(key):
    """Return the SHA-256 hash (hex) of a key, as it stands in files and in the table.

    >>> hash_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse_hashes(content):
    r"""Return the hashes in a file's bytes: one a line, with a comment behind `#`.

    >>> parse_hashes(b"AB  # anna\n\n# all\ncd")
    ('ab', 'cd')
    """
    lines = content.decode("utf-8", "replace").splitlines()
    hashes = (line.split("#")[0].strip().lower() for line in lines)
    return tuple(one for one in hashes if one)


class Operators:
    """Knows the operators' keys; a changed file is in force with the next call.

    Without a file in the settings nobody is let in.
    """

    def __init__(self, settings):
        self.settings = settings
        self.file = WatchedFile(settings.security.operator_keys)
        self.hashes = ()

    def check(self, authorization):
        """Return True, or a `Failure` when the header `authorization` names no known key."""
        if self.file.refresh():
            self.hashes = parse_hashes(self.file.content)
        given = hash_key(authorization.removeprefix(SCHEME))
        known = [hmac.compare_digest(given, one) for one in self.hashes]
        if authorization.startswith(SCHEME) and any(known):
            return True
        detail = "the operator's key is not known" if authorization else "no operator's key"
        return Failure(Reason.UNAUTHENTICATED, STEP, self.settings.daemon.instance, detail)
