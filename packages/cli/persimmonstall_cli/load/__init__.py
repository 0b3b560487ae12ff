"""The load generator: sends requests to entries at a given rate and reports the results."""
