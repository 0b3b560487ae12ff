"""Content that crashes engines: suspects run apart, the guilty are refused."""
