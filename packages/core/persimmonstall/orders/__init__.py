"""Orders to engines: leases, fencing numbers and repair."""
