"""Which instances and endpoints are there, and which are leaving."""
