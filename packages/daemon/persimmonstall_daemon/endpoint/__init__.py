"""The endpoint daemon, which runs attempts on model engines and plain services."""
