"""Tests of the share of time in which the event loop is at work."""

import time

import trio

from rattanlug.daemon import clock
from rattanlug.gateway import loop_busy


def after(*periods, seconds=0.01):
    """Return the measure after some periods of (share, length in seconds)."""
    busy = loop_busy.LoopBusy()
    for share, length in periods:
        for _ in range(round(length / seconds)):
            busy.note(share * seconds, (1.0 - share) * seconds)
    return busy


def test_a_load_near_the_limit_counts_before_anything_waits():
    assert after((0.9, 2.0)).is_busy
    assert not after((0.5, 20.0)).is_busy


def test_a_single_long_turn_counts_with_its_length():
    busy = loop_busy.LoopBusy()
    busy.note(3.0, 0.0)
    assert busy.is_busy


def test_a_vm_stays_busy_until_half_of_its_load_is_gone():
    # Load pattern: callers of a busy VM are told of others, which halves its load.
    assert after((0.9, 3.0), (0.45, 10.0)).is_busy
    assert not after((0.9, 3.0), (0.2, 3.0)).is_busy


def test_the_event_loop_reports_what_it_does():
    busy = loop_busy.LoopBusy()

    async def main():
        end = trio.current_time() + 1.5
        while trio.current_time() < end:
            time.sleep(0.02)
            await trio.sleep(0.002)

    trio.run(main, instruments=[busy])
    assert busy.is_busy


def test_a_turn_that_lasts_is_known_before_it_ends():
    busy = loop_busy.LoopBusy()
    seen = []

    def look():
        now = clock.now()
        seen.append((now, busy.turn_seconds(now)))

    async def main():
        await trio.sleep(0.01)
        look()
        for _ in range(3):
            time.sleep(0.1)
            look()
        await trio.sleep(0.01)
        look()

    trio.run(main, instruments=[busy])
    # Compared with the time that passed, since the process may be held up.
    began = [now - turn for now, turn in seen[:4]]
    assert max(began) - min(began) < 1e-6
    assert seen[3][1] >= 0.3
    next_began = seen[4][0] - seen[4][1]
    assert next_began >= seen[3][0] + 0.01


def test_what_is_ready_can_only_have_come_since_the_look_before():
    """Guards against a time of arrival that starts when a request is read."""
    busy = loop_busy.LoopBusy()
    seen = []

    async def main():
        seen.append(clock.now())
        await trio.sleep(0.05)
        seen.append(clock.now())
        time.sleep(0.2)
        await trio.lowlevel.checkpoint()
        # The turn of 0.2 s lies between the two looks.
        seen.append(busy.earliest_ready_at)
        seen.append(clock.now())
        await trio.sleep(0.1)
        seen.append(busy.earliest_ready_at)

    trio.run(main, instruments=[busy])
    slept, woke, earliest_ready_at, slept_again, ready_again = seen
    assert slept + 0.05 <= earliest_ready_at <= woke
    assert ready_again >= slept_again + 0.1
