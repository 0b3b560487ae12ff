"""Organisation limits, shared between entries by short leases."""
