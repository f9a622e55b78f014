"""Tests of rollouts when the store comes back from an older copy."""

import random

import pytest

from rattanlug.canary import (
    record_codec,
    rollout_order,
    rollout_record,
    rollout_state,
    version_choice,
)

BOTH = {"v1": 10, "v2": 10}
STATE = rollout_state.RolloutState


def order(row_version, era, target="v2"):
    return rollout_order.RolloutOrder("s", target, 16.0, row_version, era)


def record(state, order_version, order_era, row_version, row_era, target="v2"):
    return rollout_record.RolloutRecord(
        *("s", order_version, target, ("v1",), 0.0, 16.0, state, "", row_version),
        *(order_era, row_era),
    )


def build(state, order_version=45, row_version=46):
    """Return the choice of a VM that knows an order of era 1 and its record."""
    choice = version_choice.VersionChoice(random.Random(1))
    choice.update_registered("s", {"v1"}, 0.0)
    choice.set_orders({"s": order(order_version, 1)}, 1)
    known = record(state, order_version, 1, row_version, 1)
    choice.set_records([known], 0.0, 1, whole=True)
    return choice


def targets(choice, now=1.0):
    found = set()
    for _ in range(500):
        found |= choice.allowed("s", BOTH, 1.0, now)
    return found


@pytest.mark.parametrize(
    ("state", "served"), [(STATE.COMPLETE, "v2"), (STATE.ROLLED_BACK, "v1")]
)
@pytest.mark.parametrize("new_version", [42, 45, 60])
def test_a_move_that_ended_stays_so_and_is_written_again(state, served, new_version):
    choice = build(state)
    choice.set_records([], 1.0, 2, whole=True)
    (lost,) = choice.lost
    assert (lost.state, lost.row_version, lost.row_era) == (state, 0, 2)
    assert targets(choice) == {served}
    # The operator writes the order again.
    choice.set_orders({"s": order(new_version, 2)}, 2)
    assert targets(choice) == {served}
    (lost,) = choice.lost
    assert (lost.order_version, lost.order_era) == (new_version, 2)
    choice.set_records([lost._replace(row_version=61)], 1.0)
    assert choice.lost == []
    assert choice.record("s").state is state


@pytest.mark.parametrize("state", [STATE.COMPLETE, STATE.ROLLED_BACK])
def test_an_earlier_state_of_the_copy_does_not_come_back(state):
    choice = build(state, order_version=30)
    choice.set_orders({"s": order(30, 2)}, 2)
    choice.set_records([record(STATE.RUNNING, 30, 1, 31, 2)], 1.0, 2, whole=True)
    (lost,) = choice.lost
    assert (lost.state, lost.row_version, lost.row_era) == (state, 31, 2)
    assert choice.record("s").state is state


# Guards against a new order that is taken for one that ended before the return.
@pytest.mark.parametrize("version", [43, 45, 60])
@pytest.mark.parametrize("state", [STATE.COMPLETE, STATE.ROLLED_BACK])
def test_an_order_with_a_version_given_out_again_is_a_new_one(state, version):
    choice = build(state)
    choice.set_records([], 1.0, 2, whole=True)
    new = order(version, 2, target="v3")
    choice.set_orders({"s": new}, 2)
    assert choice.record("s") is None
    assert not choice.is_reverted(new)


def test_reverts_of_another_era_are_ignored():
    choice = build(STATE.RUNNING)
    new = order(45, 2, target="v3")
    choice.revert(45, 1)
    choice.set_orders({"s": new}, 2)
    assert not choice.revert(45, 1)
    assert not choice.is_reverted(new)
    assert choice.reverted == frozenset()
    # VMs of the release before name no era.
    assert choice.revert(45)
    assert choice.is_reverted(new)


def test_a_reverted_order_that_is_written_again_stays_reverted():
    choice = build(STATE.RUNNING)
    choice.revert(45)
    choice.set_orders({"s": order(60, 2)}, 2)
    assert choice.reverted == {60}
    assert targets(choice) == {"v1"}


def test_a_vm_that_starts_after_the_return_knows_the_record_of_the_copy():
    choice = version_choice.VersionChoice(random.Random(1))
    choice.set_orders({"s": order(30, 2)}, 2)
    choice.set_records([record(STATE.COMPLETE, 30, 1, 31, 2)], 0.0, 2, whole=True)
    assert choice.record("s").state is STATE.COMPLETE
    assert choice.lost == []


# A VM of the release before reads and writes records without the era.
def test_records_of_the_release_before_are_read():
    found = record(STATE.RUNNING, 5, 3, 6, 3)
    data = record_codec.encode(found)
    assert record_codec.decode(data, 6, 3) == found
    without = data.replace(b',"order_era":3', b"")
    assert without != data
    assert record_codec.decode(without, 6, 3).order_era == rollout_record.UNKNOWN_ERA
    choice = version_choice.VersionChoice(random.Random(1))
    choice.set_orders({"s": order(5, 3)}, 3)
    choice.set_records([record_codec.decode(without, 6, 3)], 0.0, 3, whole=True)
    assert choice.record("s") is not None
