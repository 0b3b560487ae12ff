"""The entry daemon: accepts requests from callers and forwards them to endpoints."""
