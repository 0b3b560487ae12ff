"""Files that are read again when they change."""

import os


class WatchedFile:
    """A file's content, read again when its identity, size or time of change differs.

    A file that cannot be read keeps its last content, so that a half-done replacement locks
    nobody out; `content` is None until it could be read once.
    """

    def __init__(self, path):
        self.path = path
        self.stamp = None
        self.content = None

    def refresh(self):
        """Read the file if it changed; return whether its content differs."""
        try:
            status = os.stat(self.path)
            stamp = (status.st_ino, status.st_size, status.st_mtime_ns)
            if stamp == self.stamp:
                return False
            with open(self.path, "rb") as stream:
                content = stream.read()
        except OSError:
            return False
        changed = content != self.content
        self.stamp = stamp
        self.content = content
        return changed
