"""Files that are reloaded when they change."""

import os


class WatchedFile:
    """A file's content, reloaded when its inode, size or modification time changes.

    If the file cannot be read, its last content is kept, so that keys and certificates stay valid
    while the file is being replaced; `content` is None until the file has been read once.
    """

    def __init__(self, path):
        self.path = path
        self.signature = None
        self.content = None

    def refresh(self):
        """Reload the file if it changed; return whether its content differs."""
        try:
            status = os.stat(self.path)
            signature = (status.st_ino, status.st_size, status.st_mtime_ns)
            if signature == self.signature:
                return False
            with open(self.path, "rb") as stream:
                content = stream.read()
        except OSError:
            return False
        changed = content != self.content
        self.signature = signature
        self.content = content
        return changed
