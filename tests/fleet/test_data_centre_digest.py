"""Tests of the digests of data centres."""

import pytest

from rattanlug.fleet import (
    data_centre_digest,
    digest,
    digest_codec,
    outcome_count,
    peer_table,
)


def host(vm):
    """Return the address of a VM such as a17."""
    number = int(vm[1:] or 0)
    return f"10.{ord(vm[0])}.{number // 250}.{number % 250 + 1}"


def report(
    vm, data_centre, demand, sequence=1, incarnation=1, outcomes=(), reverted=()
):
    return digest.Digest(
        vm, incarnation, sequence, data_centre, host(vm), 80, False, 7, demand,
        outcomes, reverted,
    )  # fmt: skip


def aggregate(table, own, now):
    """Return the digest of the data centre of ``own``, as its reporter builds it."""
    others = [
        each
        for each in table.recent_digests(7.0, now)
        if each.data_centre == own.data_centre
    ]
    return data_centre_digest.aggregate(own, others, table.local_members(3.4, now))


def empty_table(vm="x", data_centre="d9"):
    """Return the table of a VM, by default of one in another data centre."""
    return peer_table.PeerTable(vm, data_centre)


def members_with(vm):
    """Return the members that a1 reports for d1 after a digest of ``vm``."""
    table = empty_table("a1", "d1")
    table.record_digest(report(vm, "d1", {}), 0.0)
    return table.local_members(2.3, 0.1)


def test_a_digest_of_a_data_centre_replaces_those_of_its_vms_in_the_sums():
    table = empty_table("a1", "d1")
    bad = outcome_count.OutcomeCount("s", "r", 1, 2, 3, 4)
    table.record_digest(
        report("a2", "d1", {"o": 2.0}, outcomes=(bad,), reverted=(5,)), 0.5
    )
    own = report("a1", "d1", {"o": 1.0, "p": 0.5}, outcomes=(bad,))
    total = aggregate(table, own, 1.0)
    assert total.demand == {"o": 3.0, "p": 0.5}
    assert total.outcomes == (outcome_count.OutcomeCount("s", "r", 2, 4, 6, 8),)
    assert total.reverted == (5,)
    remote_table = empty_table()
    remote_table.record_digest(total, 1.1)
    # A VM that starts also sends its own digest to seeds in other data centres.
    remote_table.record_digest(report("a2", "d1", {"o": 2.0}, sequence=2), 1.2)
    assert [each.demand for each in remote_table.aggregate_digests(7.0, 1.3)] == [
        total.demand
    ]
    assert [each.vm for each in remote_table.recent_digests(7.0, 1.3)] == ["a1", "a2"]


def test_the_age_of_a_member_counts_from_its_own_latest_digest():
    # A VM that is down must disappear from look-ups although its data centre's digest
    # still names it.
    table = empty_table("a1", "d1")
    table.record_digest(report("a2", "d1", {}), 0.0)
    remote_table = empty_table()
    for second in range(1, 6):
        own = report("a1", "d1", {}, sequence=second)
        remote_table.record_digest(aggregate(table, own, float(second)), second + 0.06)
    assert [each.vm for each in remote_table.recent_digests(3.4, 5.1)] == ["a1"]


# Guards against digests that all other data centres drop: a member's digest may arrive
# while the reporter, which took the time before, sends others.
@pytest.mark.parametrize("late", [0.0, 0.004, 1.5])
def test_a_member_that_was_heard_after_the_report_began_has_no_negative_age(late):
    table = empty_table("a1", "d1")
    table.record_digest(report("a2", "d1", {}), 1.0 + late)
    total = aggregate(table, report("a1", "d1", {}), 1.0)
    received, _ = digest_codec.decode(digest_codec.encode(total))
    assert [(each.vm, each.age) for each in received.members] == [
        ("a1", 0.0), ("a2", 0.0),
    ]  # fmt: skip


def test_the_first_live_vm_is_the_reporter_and_the_next_one_takes_over():
    table = empty_table("a2", "d1")
    table.record_digest(report("a1", "d1", {}), 0.0)
    assert not data_centre_digest.is_reporter(
        "a2", False, table.local_members(2.3, 1.0)
    )
    assert data_centre_digest.is_reporter("a2", False, table.local_members(2.3, 2.4))
    leaving = report("a1", "d1", {}, sequence=2)._replace(leaving=True)
    table.record_digest(leaving, 3.0)
    live = table.local_members(2.3, 3.1)
    assert data_centre_digest.is_reporter("a2", False, live)
    # A leaving VM reports if all others are leaving too.
    assert data_centre_digest.is_reporter("a2", True, live)
    assert not data_centre_digest.is_reporter("a1", True, members_with("a2"))


def test_an_older_digest_of_the_same_reporter_does_not_replace_a_newer_one():
    remote_table = empty_table()
    for sequence, rate in ((2, 2.0), (1, 1.0)):
        own = report("a1", "d1", {"o": rate}, sequence=sequence)
        remote_table.record_digest(data_centre_digest.aggregate(own, [], []), 1.0)
    assert remote_table.aggregate_digests(7.0, 1.0)[0].demand == {"o": 2.0}


def test_a_digest_of_the_vm_s_own_data_centre_is_ignored():
    table = empty_table("a3", "d1")
    own = report("a1", "d1", {"o": 9.0})
    table.record_digest(data_centre_digest.aggregate(own, [], []), 1.0)
    assert table.aggregate_digests(7.0, 1.0) == []


def test_the_demand_of_a_silent_data_centre_expires_like_that_of_a_vm():
    remote_table = empty_table()
    remote_table.record_digest(
        data_centre_digest.aggregate(report("a1", "d1", {"o": 1.0}), [], []), 1.0
    )
    assert len(remote_table.aggregate_digests(7.0, 8.0)) == 1
    assert remote_table.aggregate_digests(7.0, 8.1) == []
    remote_table.expire(2.0)
    assert remote_table.aggregate_digests(99.0, 8.1) == []


@pytest.mark.parametrize("vms", [1, 10, 110])
def test_the_digest_of_a_large_data_centre_is_unchanged_by_the_codec(vms):
    table = empty_table("a0", "d1")
    for index in range(1, vms):
        table.record_digest(
            report(f"a{index}", "d1", {f"organisation-{index}": 1.5}), 0.5
        )
    total = aggregate(table, report("a0", "d1", {}), 1.0)
    decoded, _ = digest_codec.decode(digest_codec.encode(total))
    assert decoded == total
