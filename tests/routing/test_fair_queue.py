"""Tests of fairness and time limits of the queue for slots."""

import collections

from rattanlug.routing import fair_queue


def test_slots_follow_the_weights_under_overload():
    """Guards against sharing slots by numbers of requests instead of weights.

    "large" sends ten times as much as "small" with the same weight.
    """
    queue = fair_queue.FairQueue(capacity=10)
    served = collections.Counter()
    for step in range(2000):
        now = step * 0.01
        queue.expired(now)
        for _ in range(10):
            queue.put("large", 1.0, now, now + 2.0)
        queue.put("small", 1.0, now, now + 2.0)
        queue.put("double", 2.0, now, now + 2.0)
        queue.put("double", 2.0, now, now + 2.0)
        served[queue.take(now).organisation] += 1
    assert served["small"] == 500
    assert served["double"] == 1000


def test_requests_expire_at_their_time_limit():
    """Guards against serving a request that was already rejected."""
    queue = fair_queue.FairQueue()
    early = queue.put("a", 1.0, 0.0, 0.5)
    late = queue.put("a", 1.0, 0.0, 10.0)
    assert queue.expired(0.05) == [early]
    assert queue.take(0.1) is None
    assert queue.expired(0.1) == [late]
    assert len(queue) == 0
    assert queue.put("a", 1.0, 1.0, 1.0) is None
