"""The persimmonstalld daemon: tasks, sockets and adapters around the core's decision logic."""
