"""The service-level burn report: table, JSON and a self-contained page."""
