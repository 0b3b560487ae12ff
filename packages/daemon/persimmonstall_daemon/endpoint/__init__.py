"""The daemon beside endpoints: runs attempts on engines and plain services."""
