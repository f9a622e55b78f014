"""Processes of a run's own, which share its clock."""

import time

import trio

from soak import stepped_clock, worker


class Listed:
    """Keeps what it is told."""

    def __init__(self, nursery, first):
        self._items = [first]

    def add(self, item):
        self._items.append(item)

    async def read(self):
        await trio.lowlevel.checkpoint()
        return self._items, trio.current_time()


def test_a_worker_answers_and_shares_the_clock():
    trio.run(_play)


async def _play():
    played = worker.Worker(Listed, 1)
    try:
        before = trio.current_time()
        played.send("add", 2)
        items, now = await played.call("read")
        assert items == [1, 2]
        assert before <= now <= trio.current_time()
    finally:
        played.end()


def test_the_time_of_day_is_stepped_by_a_file(tmp_path):
    path = tmp_path / "clock"
    assert abs(stepped_clock.SteppedClock(path).time() - time.time()) < 1.0
    path.write_text("-2400")
    assert abs(stepped_clock.SteppedClock(path).time() + 2400 - time.time()) < 1.0
