"""Tests of the table of peers, the digest codec and the selection of VMs."""

import pytest

from rattanlug.fleet import (
    digest,
    digest_codec,
    outcome_count,
    peer_table,
    vm_selection,
)


def report(vm="b", incarnation=1, sequence=1, data_centre="d1", leaving=False):
    outcomes = (outcome_count.OutcomeCount("s", "r", 1, 2, 3, 4),)
    return digest.Digest(
        vm, incarnation, sequence, data_centre, "10.0.0.1", 1, leaving, 7, {"o": 1.5},
        outcomes, (9,),
    )  # fmt: skip


def test_older_digests_are_dropped_and_a_new_incarnation_is_returned():
    table = peer_table.PeerTable("a", "d1")
    assert table.record_digest(report(sequence=2), 1.0)
    assert not table.record_digest(report(sequence=1, leaving=True), 2.0)
    assert table.recent_digests(0.5, 2.0) == []
    assert table.record_digest(report(incarnation=2), 3.0)
    assert not table.record_digest(report("a"), 3.0)
    assert [each.vm for each in table.recent_digests(1.0, 3.5)] == ["b"]


def test_a_digest_is_unchanged_by_encoding_and_decoding():
    data = digest_codec.encode(report(), passed_on=True)
    assert digest_codec.decode(data) == (report(), True)


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00", b"\xff" * 40, b"GET / HTTP/1.1\r\n", b"\x01\x80\x80\x80"],
)
def test_invalid_datagrams_are_rejected(data):
    with pytest.raises(digest_codec.UnreadableDigestError):
        digest_codec.decode(data)


def test_look_ups_name_the_nearest_vms_that_are_not_leaving():
    regions = {"d1": "r1", "d2": "r1", "d3": "r2"}
    live = [report("a"), report("b", data_centre="d2"), report("c", data_centre="d3")]

    def names(vms, data_centre, region):
        chosen = vm_selection.choose_vms(vms, data_centre, region, regions)
        return [each.vm for each in chosen]

    assert names(live, "d1", "r1") == ["a"]
    with_leaving = [report("a", leaving=True), *live[1:]]
    assert names(with_leaving, "d1", "r1") == ["b"]
    assert names(live[2:], "d1", "r1") == ["c"]


def test_a_vm_whose_clock_was_set_back_is_accepted_again_after_its_restart():
    table = peer_table.PeerTable("a", "d1")
    table.record_digest(report(incarnation=100, sequence=50), 1.0)
    assert not table.record_digest(report(incarnation=90), 1.5)
    assert table.record_digest(report(incarnation=90, sequence=3), 4.0)
    assert [each.incarnation for each in table.recent_digests(1.0, 4.5)] == [90]


def test_callers_of_an_overloaded_data_centre_also_get_vms_of_its_region():
    regions = {"d1": "r1", "d2": "r1", "d3": "r2"}
    live = [
        report("a")._replace(overloaded=True),
        report("b", data_centre="d2"),
        report("c", data_centre="d2")._replace(overloaded=True),
        report("d", data_centre="d3"),
    ]
    chosen = vm_selection.choose_vms(live, "d1", "r1", regions)
    assert [each.vm for each in chosen] == ["a", "b"]
    # The callers of a data centre without an overloaded VM get its own VMs only.
    without_c = [live[0], live[1], live[3]]
    assert [
        each.vm for each in vm_selection.choose_vms(without_c, "d2", "r1", regions)
    ] == ["b"]


# Guards against a VM that doesn't count as running since its digests are dropped.
def test_vms_that_are_silent_or_whose_digests_are_dropped_may_be_running():
    table = peer_table.PeerTable("a", "d1")
    table.record_registration("a", "d1", 0.0)
    table.record_registration("c", "d2", 0.0)
    table.record_digest(report(incarnation=2), 1.0)
    table.record_digest(report(incarnation=1), 2.0)
    table.expire(200.0)
    assert table.possible_vms("d1", 7.0, 301.5) == 1
    assert table.possible_vms("", 7.0, 299.0) == 2
    assert table.possible_vms("d1", 7.0, 303.0) == 0
