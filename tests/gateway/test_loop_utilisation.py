"""Tests of the measured utilisation of the event loop."""

import time

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.gateway import loop_utilisation


def after(*periods, seconds=0.01):
    """Return the measurement after periods of (busy share, length in seconds)."""
    utilisation = loop_utilisation.LoopUtilisation()
    for share, length in periods:
        for _ in range(round(length / seconds)):
            utilisation.record(share * seconds, (1.0 - share) * seconds)
    return utilisation


def test_a_load_near_the_limit_counts_as_busy():
    assert after((0.9, 2.0)).is_busy
    assert not after((0.5, 20.0)).is_busy


def test_a_single_long_iteration_is_weighted_by_its_length():
    utilisation = loop_utilisation.LoopUtilisation()
    utilisation.record(3.0, 0.0)
    assert utilisation.is_busy


def test_a_vm_stays_busy_until_half_of_its_load_is_gone():
    # Look-ups at a busy VM return other VMs as well, which halves its load.
    assert after((0.9, 3.0), (0.45, 10.0)).is_busy
    assert not after((0.9, 3.0), (0.2, 3.0)).is_busy


# The waits last longer on a busy machine, so that the load is compared with the work
# that was done: about 0.9 of the time, averaged with a half-life.
def test_the_event_loop_reports_its_load():
    utilisation = loop_utilisation.LoopUtilisation()
    worked, reported = [0.0], []

    async def work(seconds):
        begin = trio.current_time()
        while trio.current_time() < begin + seconds:
            started = trio.current_time()
            time.sleep(0.02)
            worked[0] += trio.current_time() - started
            await trio.sleep(0.002)
        taken = trio.current_time() - begin
        reported.append((utilisation.busy_share, worked[0] / taken, taken))

    async def main():
        await work(1.5)
        await work(1.5)

    trio.run(main, instruments=[utilisation])
    share, work_share, taken = reported[0]
    known = 1.0 - 0.5 ** (taken / loop_utilisation.HALF_LIFE_SECONDS)
    assert share == pytest.approx(known * work_share, abs=0.03)
    assert utilisation.is_busy


def test_the_length_of_an_iteration_is_known_before_it_ends():
    utilisation = loop_utilisation.LoopUtilisation()
    seen = []

    def measure():
        now = clock.now()
        seen.append((now, utilisation.iteration_seconds(now)))

    async def main():
        await trio.sleep(0.01)
        measure()
        for _ in range(3):
            time.sleep(0.1)
            measure()
        await trio.sleep(0.01)
        measure()

    trio.run(main, instruments=[utilisation])
    # Compared with the elapsed time, since the process may not be scheduled.
    began = [now - elapsed for now, elapsed in seen[:4]]
    assert max(began) - min(began) < 1e-6
    assert seen[3][1] >= 0.3
    next_began = seen[4][0] - seen[4][1]
    assert next_began >= seen[3][0] + 0.01


def test_a_ready_socket_became_ready_after_the_previous_poll():
    """Guards against counting a request's arrival from when it is read."""
    utilisation = loop_utilisation.LoopUtilisation()
    seen = []

    async def main():
        seen.append(clock.now())
        await trio.sleep(0.05)
        seen.append(clock.now())
        time.sleep(0.2)
        await trio.lowlevel.checkpoint()
        # The iteration of 0.2 s lies between the two polls.
        seen.append(utilisation.earliest_ready_at)
        seen.append(clock.now())
        await trio.sleep(0.1)
        seen.append(utilisation.earliest_ready_at)

    trio.run(main, instruments=[utilisation])
    slept, woke, earliest_ready_at, slept_again, ready_again = seen
    assert slept + 0.05 <= earliest_ready_at <= woke
    assert ready_again >= slept_again + 0.1
