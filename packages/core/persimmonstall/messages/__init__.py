"""Messages between daemons, and between the tasks of one daemon."""
