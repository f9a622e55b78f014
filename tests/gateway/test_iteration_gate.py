"""Tests of how many requests start in one iteration of the event loop."""

import collections
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


# Guards against many large responses that are each read in the same iteration, so that
# everything else waits for all of them.
def test_work_that_takes_turns_leaves_iterations_short():
    async def main():
        utilisation = loop_utilisation.LoopUtilisation()
        trio.lowlevel.add_instrument(utilisation)
        gate = iteration_gate.IterationGate(utilisation, 0.01)
        started = collections.Counter()

        async def work():
            for _ in range(5):
                await gate.take_turn()
                started[utilisation.iterations] += 1
                began = time.monotonic()
                while time.monotonic() - began < 0.004:
                    pass

        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(work)
        assert sum(started.values()) == 200
        assert max(started.values()) <= 3

    trio.run(main)
