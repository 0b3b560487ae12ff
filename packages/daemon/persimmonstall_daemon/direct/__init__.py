"""The direct way: an entry that calls endpoints itself; its tasks and sockets."""
