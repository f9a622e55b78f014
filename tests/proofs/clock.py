"""Virtual time: an event queue, and clocks of VMs with offset and drift."""

import heapq
import itertools


class EventQueue:
    """Runs callbacks in the order of their true time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = itertools.count()

    def call_at(self, time, callback, *args):
        heapq.heappush(self._heap, (time, next(self._order), callback, args))

    def call_later(self, delay, callback, *args):
        self.call_at(self.now + delay, callback, *args)

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now = until


class Clock:
    """A clock with a random origin and a drift of at most 0.1%."""

    def __init__(self, queue, rng):
        self._queue = queue
        self._origin = rng.uniform(0, 1e6)
        self._rate = 1 + rng.choice((-1e-3, 0, 1e-3, rng.uniform(-1e-3, 1e-3)))

    def now(self):
        return self._origin + self._queue.now * self._rate
