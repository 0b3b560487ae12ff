"""The entry daemon: takes callers' requests and brings them to endpoints."""
