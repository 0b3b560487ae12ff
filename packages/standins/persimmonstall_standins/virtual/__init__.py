"""Virtual time and in-memory links, so that a fleet of daemons runs in one process."""
