"""Retry budgets and delays with jitter."""
