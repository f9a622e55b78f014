"""Tests of how many requests start in one iteration of the event loop."""

import time

import trio

from rattanlug.daemon import clock
from rattanlug.gateway import iteration_gate, loop_utilisation


def started_per_iteration(requests, seconds, now=clock.now):
    """Return how many requests of the given duration start in each iteration."""
    utilisation = loop_utilisation.LoopUtilisation()
    gate = iteration_gate.IterationGate(utilisation)
    started = {}

    async def start():
        await trio.lowlevel.checkpoint()
        while not gate.may_start(now()):
            await trio.lowlevel.checkpoint()
        gate.record_start()
        started[utilisation.iterations] = started.get(utilisation.iterations, 0) + 1
        time.sleep(seconds)

    async def main():
        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                nursery.start_soon(start)

    trio.run(main, instruments=[utilisation])
    return list(started.values())


def test_requests_start_together_while_the_iteration_is_short():
    # With a clock that stays at zero, no iteration takes any time.
    assert started_per_iteration(20, 0.0, lambda: 0.0) == [20]


def test_the_length_of_an_iteration_is_bounded():
    started = started_per_iteration(40, 0.01)
    assert sum(started) == 40
    assert max(started) <= iteration_gate.MAX_ITERATION_SECONDS / 0.01 + 1


def test_one_request_starts_in_each_iteration_however_long_it_takes():
    assert started_per_iteration(3, 2 * iteration_gate.MAX_ITERATION_SECONDS) == [
        1,
        1,
        1,
    ]
