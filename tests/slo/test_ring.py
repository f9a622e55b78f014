"""Guards against counts in wrong windows and against stale counts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rattanlug.slo import ring

EVENTS = st.lists(st.floats(0, 20_000), min_size=1, max_size=60).map(sorted)


@given(EVENTS, st.sampled_from([300, 1800, 3600]), st.floats(0, 9_000))
def test_sum_has_at_least_the_window_and_at_most_one_bucket_more(times, window, rest):
    """A window that omits failures hides an outage."""
    counted = ring.CountRing(30, 3600, times[0])
    for each in times:
        counted.add(True, False, each)
    now = times[-1] + rest
    total = counted.sum(window, now).total
    assert total >= sum(each > now - window for each in times)
    assert total <= sum(each >= now - window - 30 for each in times)


def test_clock_that_steps_back_loses_nothing():
    """A late record must not clear the buckets of newer ones."""
    counted = ring.CountRing(30, 3600, 1000)
    counted.add(False, True, 1000)
    counted.add(True, False, 900)
    assert counted.sum(300, 1000) == (2, 1, 1)


def test_long_pause_clears_every_bucket():
    """Old counts must not reappear after a pause of exactly the ring's length."""
    counted = ring.CountRing(30, 3600, 0)
    counted.add(True, False, 0)
    assert counted.sum(3600, 121 * 30).total == 0
    assert counted.sum(3600, 10 * 121 * 30).total == 0


@pytest.mark.parametrize("window", [30, 3600])
def test_sum_never_counts_a_bucket_twice(window):
    """A window as long as the ring must not wrap around."""
    counted = ring.CountRing(30, 3600, 0)
    counted.add(False, False, 0)
    assert counted.sum(window, 29).total == 1
