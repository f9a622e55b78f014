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
    default = rollout_record.RolloutRecord(
        "s", 5, "v2", ("v1",), began, 16.0, state, "", row_version
    )
    return default._replace(**changes)


def build(*orders, records=(), at=0.0):
    choice = version_choice.VersionChoice(random.Random(1))
    choice.update_registered("s", {"v1"}, 0.0)
    choice.set_orders({each.service: each for each in orders})
    choice.set_records(records, at)
    return choice


def share(choice, now):
    allowed = [choice.allowed("s", BOTH, 1.0, now) for _ in range(2000)]
    return sum(each == {"v2"} for each in allowed) / len(allowed)


def test_an_unknown_version_gets_no_requests_until_its_hold_time_is_over():
    choice = build()
    choice.update_registered("s", BOTH, 1.0)
    assert choice.allowed("s", BOTH, 1.0, 1.0) == {"v1"}
    choice.update_registered("s", BOTH, 1.0 + version_choice.HOLD_SECONDS)
    assert choice.allowed("s", BOTH, 1.0, 6.0) is None


def test_a_target_gets_no_requests_before_its_rollout_is_recorded():
    assert share(build(order()), 1.0) == 0.0


@pytest.mark.parametrize(
    ("elapsed", "low", "high"), [(2.0, 0.03, 0.07), (10.0, 0.2, 0.3), (13.0, 1.0, 1.0)]
)
def test_shares_follow_the_time_since_the_rollout_began(elapsed, low, high):
    choice = build(order(), records=[record()], at=elapsed)
    assert low <= share(choice, elapsed) <= high


def test_with_an_old_record_the_share_stays_that_of_the_canary():
    choice = build(order(), records=[record()], at=0.0)
    assert share(choice, 13.0) < 0.1


def test_a_reverted_version_gets_no_requests():
    choice = build(order(), records=[record()], at=10.0)
    assert choice.revert(5)
    assert share(choice, 10.0) == 0.0
    assert not choice.revert(5)


@pytest.mark.parametrize(
    ("state", "expected"), [(STATE.ROLLED_BACK, {"v1"}), (STATE.COMPLETE, {"v2"})]
)
def test_the_versions_after_a_rollout_don_t_change(state, expected):
    choice = build(order(), records=[record(state)], at=0.0)
    for now in (1.0, 100.0):
        assert choice.allowed("s", BOTH, 1.0, now) == expected


def test_a_vm_that_starts_during_a_rollout_takes_the_base_from_the_record():
    choice = version_choice.VersionChoice(random.Random(1))
    choice.set_orders({"s": order()})
    choice.set_records([record(STATE.ROLLED_BACK)], 0.0)
    choice.update_registered("s", BOTH, 0.1)
    assert choice.allowed("s", BOTH, 1.0, 0.2) == {"v1"}


def test_an_older_record_does_not_replace_a_newer_one():
    choice = build(order(), records=[record(STATE.COMPLETE, row_version=9)], at=0.0)
    choice.set_records([record(row_version=8)], 1.0)
    assert choice.record("s").state is STATE.COMPLETE


def test_a_record_is_unchanged_by_encoding_and_decoding():
    original = record(STATE.ROLLED_BACK, reason="errors")
    assert record_codec.decode(record_codec.encode(original), 6) == original
    with pytest.raises(record_codec.UnreadableRecordError):
        record_codec.decode(b'{"service": "s"}', 1)


def test_a_version_with_too_few_slots_stays_at_the_canary_share():
    choice = build(order(), records=[record()], at=13.0)
    allowed = [
        choice.allowed("s", {"v1": 100, "v2": 10}, 1.0, 13.0) for _ in range(1000)
    ]
    assert sum(each == {"v2"} for each in allowed) < 100
    assert choice.allowed("s", {"v1": 100}, 1.0, 13.0) == {"v1"}
