"""Processes of a run's own, which share its clock."""

import time

import trio

from soak import history, site_upstream, sites, stepped_clock, upstream_worker, worker
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


def test_a_worker_sends_without_end_as_it_is_told():
    trio.run(_send_without_end)


async def _send_without_end():
    site = sites.SITES["nool-stitch-full"]
    workers = upstream_worker.UpstreamWorkers(site, "127.0.0.1")
    try:
        stand_in, gate = await workers.start("u0", site.services[0].name, 0.5, 0)
        stand_in.endless = site_upstream.Endless("no_length", 500)
        stream = await trio.open_tcp_stream("127.0.0.1", gate.port)
        received = 0
        async with stream:
            await stream.send_all(
                b"GET /view/x HTTP/1.1\r\nRattanlug-Request-Id: r1\r\n\r\n"
            )
            while received < 1_000_000:
                received += len(await stream.receive_some(65536))
        await workers.collect(history.History(site))
    finally:
        workers.end()
    assert stand_in.sent_endlessly == stand_in.broken_off == {"r1"}
    assert stand_in.endless_bytes > 0
