"""The persimmonstalld daemon: tasks, sockets and adapters around the decisions."""
