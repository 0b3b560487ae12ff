"""The HTTP interface for callers, in the form that chat-completions clients speak."""
