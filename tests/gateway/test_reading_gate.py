"""Tests of the time for large responses in one iteration of the event loop."""

import collections
import time

import trio

from rattanlug.gateway import loop_utilisation, reading_gate


# Guards against many large responses that are each read in the same iteration, so that
# everything else waits for all of them.
def test_parts_that_are_read_leave_iterations_short():
    async def main():
        utilisation = loop_utilisation.LoopUtilisation()
        trio.lowlevel.add_instrument(utilisation)
        gate = reading_gate.ReadingGate(utilisation)
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


# Guards against large responses that hardly advance while other work makes each
# iteration long.
def test_parts_are_read_in_long_iterations_too():
    utilisation = loop_utilisation.LoopUtilisation()
    gate = reading_gate.ReadingGate(utilisation)
    # The first part's turn comes 0.1 s after the begin of the iteration.
    utilisation.after_io_wait(0.0)
    begin = 0.1
    limit = reading_gate.MAX_READING_SECONDS
    assert [gate.try_read(begin + each * limit) for each in (0.0, 0.5, 0.9)] == [
        True
    ] * 3
    assert not gate.try_read(begin + 1.1 * limit)
    utilisation.after_io_wait(0.0)
    assert gate.try_read(begin + 1.1 * limit)
