"""Slots, choice of an upstream, link and retry budgets, waiting requests."""
