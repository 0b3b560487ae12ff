"""The burn-rate report of service-level objectives: table, JSON and HTML page."""
