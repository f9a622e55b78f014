"""Processes of a run's own, which share its clock."""

import time

import trio

from soak import history, sites, stepped_clock, upstream_worker, worker
from trial import http_client


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


# Guards against stalls of one process that are taken off what another one recorded.
def test_executions_name_the_process_whose_stalls_are_collected():
    trio.run(_collect)


async def _collect():
    site = sites.SITES["nool-stitch-full"]
    workers = upstream_worker.UpstreamWorkers(site, "127.0.0.1")
    observations = history.History(site)
    try:
        started = [
            await workers.start(f"u{index}", site.services[0].name, 0.5, 0)
            for index in range(2)
        ]
        for _, gate in started:
            path = f"/{site.routes[0].name}/x"
            await http_client.request("127.0.0.1", gate.port, "GET", path, timeout=5.0)
        await workers.collect(observations)
    finally:
        workers.end()
    processes = [stand_in.executions[0].process for stand_in, _ in started]
    assert processes == ["upstreams 0", "upstreams 1"]
    assert set(observations.stalls) == set(processes)
