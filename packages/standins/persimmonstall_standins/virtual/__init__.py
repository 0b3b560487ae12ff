"""Virtual time and in-memory links to run a fleet of daemons in one process."""
