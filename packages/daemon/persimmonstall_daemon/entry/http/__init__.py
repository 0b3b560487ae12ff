"""The HTTP interface for callers, compatible with chat completions clients."""
