"""The load tool: requests at a given rate against entries, and what became of them."""
