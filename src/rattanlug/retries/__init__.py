"""Retry policy and retry budgets."""
