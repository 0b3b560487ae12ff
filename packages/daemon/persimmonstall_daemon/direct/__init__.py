"""Direct mode: the tasks and sockets of an entry that calls endpoints itself."""
