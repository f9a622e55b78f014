"""Tests that at most one VM holds the steering lease."""

import hypothesis
from hypothesis import strategies as st

from rattanlug.rollout import lease_row, steering_lease

STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0.0, 4.0), st.floats(0.0, 2.0)),
    max_size=60,
)


@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(STEPS)
def test_at_most_one_holder(steps):
    """Guards against overlapping leases after slow writes, lost responses or pauses."""
    now, row = 0.0, None
    leases = [steering_lease.SteeringLease(f"vm{n}", 1) for n in range(3)]
    for index, pause, delay in steps:
        now += pause
        lease = leases[index]
        lease.observe(row, now)
        row_to_write = lease.next_write(now)
        assert sum(item.held(now) for item in leases) <= 1
        if row_to_write is not None:
            lease.record_attempt(row_to_write, now)
            row = row_to_write
            now += delay
            if delay < 1.5:  # A longer delay stands for a lost response.
                lease.observe(row, now)
        assert sum(item.held(now) for item in leases) <= 1


def test_dead_holder_is_replaced_with_a_higher_term():
    """Guards against moves that stop for ever with the death of the steering VM."""
    first = steering_lease.SteeringLease("a", 1)
    first.observe(None, 0.0)
    row = first.next_write(0.0)
    first.record_attempt(row, 0.0)
    first.observe(row, 0.1)
    assert first.held(4.9)
    assert not first.held(5.0)
    second = steering_lease.SteeringLease("b", 1)
    second.observe(row, 0.2)
    assert second.next_write(6.1) is None
    assert second.next_write(6.2).term == 2


def test_released_lease_is_taken_at_once_and_not_before():
    """Guards against a pause of all moves at the orderly stop of the steering VM."""
    holder = steering_lease.SteeringLease("a", 1)
    holder.observe(None, 0.0)
    row = holder.next_write(0.0)
    holder.record_attempt(row, 0.0)
    holder.observe(row, 0.1)
    other = steering_lease.SteeringLease("b", 1)
    other.observe(row, 0.2)
    assert other.next_write(0.3) is None
    released = holder.release(0.4)
    assert not holder.held(0.4)
    assert holder.release(0.5) is None
    other.observe(released, 0.6)
    assert other.next_write(0.6) == lease_row.LeaseRow("b", 1, row.term + 1, 0)
