"""Slots, selection of an upstream, link and retry budgets, queues for slots."""
