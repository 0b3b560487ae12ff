"""Finds callers that left while their connections are not read.

A connection that is not read, such as one on which a caller sends ahead, does not notice its
close, and the call in progress would go on for nobody.
"""

import select

LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class DepartedCallers:
    """The connections that are not read; `review` closes those whose callers have left."""

    def __init__(self):
        self.unread = {}

    def add(self, connection):
        """Watch a connection that is not read any more."""
        sock = connection.transport and connection.transport.get_extra_info("socket")
        if sock is not None:
            self.unread[connection] = sock.fileno()

    def discard(self, connection):
        """Watch a connection no more: it is read again, or closed."""
        self.unread.pop(connection, None)

    def review(self):
        """Close the connections whose callers have left."""
        if not self.unread:
            return
        poller = select.poll()
        for descriptor in self.unread.values():
            poller.register(descriptor, LEFT_EVENTS)
        left = {descriptor for descriptor, event in poller.poll(0) if event & LEFT_EVENTS}
        for connection, descriptor in list(self.unread.items()):
            if descriptor in left:
                connection.abort("its caller left while it was not read")
