"""Tests of the versions that may serve a request."""

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


def order(row_version=5, target="v2"):
    return rollout_order.RolloutOrder("s", target, 16.0, row_version)


def record(state=STATE.RUNNING, began=0.0, row_version=6, **changes):
    found = rollout_record.RolloutRecord(
        "s", 5, "v2", ("v1",), began, 16.0, state, "", row_version
    )
    return found._replace(**changes)


def build(*orders, records=(), at=0.0):
    choice = version_choice.VersionChoice(random.Random(1))
    choice.update_registered("s", {"v1"}, 0.0)
    choice.set_orders({each.service: each for each in orders})
    choice.set_records(records, at)
    return choice


def share(choice, now):
    found = [choice.allowed("s", BOTH, 1.0, now) for _ in range(2000)]
    return sum(each == {"v2"} for each in found) / len(found)


def test_an_unknown_version_waits_for_its_order():
    choice = build()
    choice.update_registered("s", BOTH, 1.0)
    assert choice.allowed("s", BOTH, 1.0, 1.0) == {"v1"}
    choice.update_registered("s", BOTH, 1.0 + version_choice.HOLD_SECONDS)
    assert choice.allowed("s", BOTH, 1.0, 6.0) is None


def test_a_target_gets_nothing_before_its_move_is_recorded():
    assert share(build(order()), 1.0) == 0.0


@pytest.mark.parametrize(
    ("elapsed", "low", "high"), [(2.0, 0.03, 0.07), (10.0, 0.2, 0.3), (13.0, 1.0, 1.0)]
)
def test_shares_follow_the_time_since_the_move_began(elapsed, low, high):
    choice = build(order(), records=[record()], at=elapsed)
    assert low <= share(choice, elapsed) <= high


def test_without_news_of_the_move_the_share_stays_small():
    choice = build(order(), records=[record()], at=0.0)
    assert share(choice, 13.0) < 0.1


def test_a_version_found_bad_gets_nothing_at_once():
    choice = build(order(), records=[record()], at=10.0)
    assert choice.revert(5)
    assert share(choice, 10.0) == 0.0
    assert not choice.revert(5)


@pytest.mark.parametrize(
    ("state", "expected"), [(STATE.ROLLED_BACK, {"v1"}), (STATE.COMPLETE, {"v2"})]
)
def test_an_ended_move_decides_for_good(state, expected):
    choice = build(order(), records=[record(state)], at=0.0)
    for now in (1.0, 100.0):
        assert choice.allowed("s", BOTH, 1.0, now) == expected


def test_a_vm_that_starts_in_the_middle_learns_the_base_from_the_record():
    choice = version_choice.VersionChoice(random.Random(1))
    choice.set_orders({"s": order()})
    choice.set_records([record(STATE.ROLLED_BACK)], 0.0)
    choice.update_registered("s", BOTH, 0.1)
    assert choice.allowed("s", BOTH, 1.0, 0.2) == {"v1"}


def test_an_older_record_does_not_replace_a_newer_one():
    choice = build(order(), records=[record(STATE.COMPLETE, row_version=9)], at=0.0)
    choice.set_records([record(row_version=8)], 1.0)
    assert choice.record("s").state is STATE.COMPLETE


def test_records_survive_their_codec():
    found = record(STATE.ROLLED_BACK, reason="errors")
    assert record_codec.decode(record_codec.encode(found), 6) == found
    with pytest.raises(record_codec.UnreadableRecordError):
        record_codec.decode(b'{"service": "s"}', 1)


def test_a_version_with_too_few_upstreams_stays_on_trial():
    choice = build(order(), records=[record()], at=13.0)
    found = [choice.allowed("s", {"v1": 100, "v2": 10}, 1.0, 13.0) for _ in range(1000)]
    assert sum(each == {"v2"} for each in found) < 100
    assert choice.allowed("s", {"v1": 100}, 1.0, 13.0) == {"v1"}
