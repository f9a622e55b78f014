"""Guards against one organisation that takes the slots of the others."""

import collections

from rattanlug.routing import fair_queue


def test_slots_follow_the_weights_under_overload():
    """An organisation that sends ten times as much would get ten times the slots."""
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


def test_waiting_ends_at_the_limit():
    """A request would be served after its caller was told to go elsewhere."""
    queue = fair_queue.FairQueue()
    early = queue.put("a", 1.0, 0.0, 0.5)
    late = queue.put("a", 1.0, 0.0, 10.0)
    assert queue.expired(0.05) == [early]
    assert queue.take(0.1) is None
    assert queue.expired(0.1) == [late]
    assert len(queue) == 0
    assert queue.put("a", 1.0, 1.0, 1.0) is None
