"""Tests of reports of whole data centres."""

import pytest

from rattanlug.fleet import (
    data_centre_digest,
    digest,
    digest_codec,
    outcome_count,
    peer_table,
)


def report(vm, centre, demand, sequence=1, incarnation=1, outcomes=(), reverted=()):
    return digest.Digest(
        vm, incarnation, sequence, centre, f"host-{vm}", 80, False, 7, demand,
        outcomes, reverted,
    )  # fmt: skip


def centre(table, own, now):
    others = [
        each
        for each in table.recent_digests(7.0, now)
        if each.data_centre == own.data_centre
    ]
    return data_centre_digest.aggregate(own, others, table.local_members(3.4, now))


def listening(vm="x", data_centre="d9"):
    return peer_table.PeerTable(vm, data_centre)


def listening_to(vm):
    table = listening("a1", "d1")
    table.record_digest(report(vm, "d1", {}), 0.0)
    return table.local_members(2.3, 0.1)


def test_sums_of_a_data_centre_count_once():
    table = listening("a1", "d1")
    bad = outcome_count.OutcomeCount("s", "r", 1, 2, 3, 4)
    table.record_digest(
        report("a2", "d1", {"o": 2.0}, outcomes=(bad,), reverted=(5,)), 0.5
    )
    own = report("a1", "d1", {"o": 1.0, "p": 0.5}, outcomes=(bad,))
    whole = centre(table, own, 1.0)
    assert whole.demand == {"o": 3.0, "p": 0.5}
    assert whole.outcomes == (outcome_count.OutcomeCount("s", "r", 2, 4, 6, 8),)
    assert whole.reverted == (5,)
    other = listening()
    other.record_digest(whole, 1.1)
    # A VM that starts also sends its own report to its seeds elsewhere.
    other.record_digest(report("a2", "d1", {"o": 2.0}, sequence=2), 1.2)
    assert [each.demand for each in other.aggregate_digests(7.0, 1.3)] == [whole.demand]
    assert [each.vm for each in other.recent_digests(7.0, 1.3)] == ["a1", "a2"]


def test_a_member_is_as_old_as_its_last_report_and_not_as_that_of_its_centre():
    # A dead VM must leave the look-ups, whoever still reports it.
    table = listening("a1", "d1")
    table.record_digest(report("a2", "d1", {}), 0.0)
    other = listening()
    for second in range(1, 6):
        own = report("a1", "d1", {}, sequence=second)
        other.record_digest(centre(table, own, float(second)), second + 0.06)
    assert [each.vm for each in other.recent_digests(3.4, 5.1)] == ["a1"]


def test_the_first_live_vm_reports_and_the_next_one_takes_over():
    table = listening("a2", "d1")
    table.record_digest(report("a1", "d1", {}), 0.0)
    assert not data_centre_digest.is_reporter(
        "a2", False, table.local_members(2.3, 1.0)
    )
    assert data_centre_digest.is_reporter("a2", False, table.local_members(2.3, 2.4))
    leaving = report("a1", "d1", {}, sequence=2)._replace(leaving=True)
    table.record_digest(leaving, 3.0)
    live = table.local_members(2.3, 3.1)
    assert data_centre_digest.is_reporter("a2", False, live)
    # One that leaves reports for itself if it is alone.
    assert data_centre_digest.is_reporter("a2", True, live)
    assert not data_centre_digest.is_reporter("a1", True, listening_to("a2"))


def test_an_older_report_of_the_same_vm_does_not_replace_a_newer_one():
    other = listening()
    for sequence, rate in ((2, 2.0), (1, 1.0)):
        own = report("a1", "d1", {"o": rate}, sequence=sequence)
        other.record_digest(data_centre_digest.aggregate(own, [], []), 1.0)
    assert other.aggregate_digests(7.0, 1.0)[0].demand == {"o": 2.0}


def test_the_own_data_centre_is_known_from_its_vms_only():
    other = listening("a3", "d1")
    own = report("a1", "d1", {"o": 9.0})
    other.record_digest(data_centre_digest.aggregate(own, [], []), 1.0)
    assert other.aggregate_digests(7.0, 1.0) == []


def test_a_silent_data_centre_s_demand_lapses_like_that_of_a_vm():
    other = listening()
    other.record_digest(
        data_centre_digest.aggregate(report("a1", "d1", {"o": 1.0}), [], []), 1.0
    )
    assert len(other.aggregate_digests(7.0, 8.0)) == 1
    assert other.aggregate_digests(7.0, 8.1) == []
    other.expire(2.0)
    assert other.aggregate_digests(99.0, 8.1) == []


@pytest.mark.parametrize("vms", [1, 10, 110])
def test_a_report_survives_the_codec_at_the_size_of_a_large_data_centre(vms):
    table = listening("a0", "d1")
    for index in range(1, vms):
        table.record_digest(
            report(f"a{index}", "d1", {f"organisation-{index}": 1.5}), 0.5
        )
    whole = centre(table, report("a0", "d1", {}), 1.0)
    found, _ = digest_codec.decode(digest_codec.encode(whole))
    assert found == whole
