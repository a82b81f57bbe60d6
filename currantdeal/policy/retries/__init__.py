"""Retry budgets, retry detection and retry-after times."""
