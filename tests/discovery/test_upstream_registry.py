"""Tests of the registry of upstreams."""

import math

from rattanlug.discovery import upstream_record, upstream_registry


def record(upstream_id="u1", incarnation=1, sequence=1, leaving=False, cold=0.0):
    return upstream_record.UpstreamRecord(
        upstream_id, incarnation, sequence, "s", "v1", "h", 1, "d", 5, leaving, cold
    )


def ids(registry):
    return [each.id for each in registry.of_service("s")]


def test_a_leaving_upstream_stays_so_until_it_restarts():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record()], 1, 0.0)
    registry.apply([record(sequence=2, leaving=True)], 2, 1.0)
    assert ids(registry) == []
    registry.apply([record(sequence=3)], 3, 2.0)
    assert ids(registry) == []
    registry.apply([record(incarnation=2)], 4, 3.0)
    assert ids(registry) == ["u1"]


def test_a_missing_upstream_is_removed_immediately():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(), record("u2")], 1, 0.0)
    assert registry.apply([record("u2")], 2, 1.0)
    assert ids(registry) == ["u2"]


def test_registrations_that_expired_while_the_store_failed_get_time_to_be_renewed():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(), record("u2")], 1, 0.0)
    registry.record_store_failure(5.0)
    registry.apply([record("u2")], 2, 6.0)
    assert ids(registry) == ["u1", "u2"]
    registry.apply(
        [record("u2")], 3, 5.0 + upstream_registry.REREGISTRATION_SECONDS + 0.1
    )
    assert ids(registry) == ["u2"]


def test_an_older_read_changes_nothing():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record()], 5, 0.0)
    assert not registry.apply([], 4, 1.0)
    assert ids(registry) == ["u1"]


def test_a_duplicate_report_does_not_extend_the_warm_up():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(cold=3.0)], 1, 0.0)
    registry.apply([record(cold=3.0)], 2, 1.0)
    assert registry.cold_seconds("u1", 1.0) == 2.0
    registry.apply([record(sequence=2, cold=3.0)], 3, 1.5)
    assert registry.cold_seconds("u1", 1.5) == 3.0


def test_the_time_at_which_a_warm_upstream_became_cold_is_kept():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(cold=3.0)], 1, 0.0)
    assert registry.became_cold_at("u1") == -math.inf
    registry.apply([record(sequence=2)], 2, 1.0)
    registry.apply([record(sequence=3, cold=3.0)], 3, 2.0)
    registry.apply([record(sequence=4, cold=2.0)], 4, 3.0)
    assert registry.became_cold_at("u1") == 2.0
    registry.apply([record(sequence=5)], 5, 4.0)
    registry.apply([record(incarnation=2, cold=3.0)], 6, 5.0)
    assert registry.became_cold_at("u1") == 5.0


GRACE = upstream_registry.REREGISTRATION_SECONDS


def test_after_a_return_of_the_store_missing_upstreams_are_kept_for_some_time():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(), record("u2")], 9, 0.0, 1)
    registry.apply([record("u2")], 5, 1.0, 2)
    assert ids(registry) == ["u1", "u2"]
    assert registry.missing == ["u1"]
    registry.apply([record("u2")], 6, 1.0 + GRACE, 2)
    assert ids(registry) == ["u2"]
    # A registration that is written again later than expected counts.
    registry.apply([record(), record("u2")], 7, 1.5 + GRACE, 2)
    assert ids(registry) == ["u1", "u2"]


# Guards against requests to upstreams that have left, which a copy names as ready.
def test_upstreams_that_left_do_not_come_back_by_the_rows_of_a_copy():
    registry = upstream_registry.UpstreamRegistry(heartbeat=1.0)
    registry.apply([record(sequence=5), record("u2")], 8, 0.0, 1)
    registry.apply([record("u2", sequence=3, leaving=True)], 9, 1.0, 1)
    copied = [record(sequence=5), record("u2")]
    for now in (2.0, 4.0, 2.0 + 3.0 + 0.9 * GRACE):
        registry.apply(copied, 5, now, 2)
        assert ids(registry) == []
    # By then, the registrations of silent upstreams are removed from the store.
    registry.apply(copied, 5, 2.0 + 3.0 + GRACE, 2)
    assert ids(registry) == ["u1"]


def test_an_upstream_that_registers_again_after_a_return_counts():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(sequence=5), record("u2")], 8, 0.0, 1)
    registry.apply([], 9, 1.0, 1)
    registry.apply([record(sequence=5), record("u2")], 5, 2.0, 2)
    assert ids(registry) == []
    registry.apply([record(sequence=6), record("u2", incarnation=2)], 6, 2.5, 2)
    assert ids(registry) == ["u1", "u2"]


def test_an_earlier_incarnation_does_not_come_back_by_the_rows_of_a_copy():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record(incarnation=7, sequence=1)], 8, 0.0, 1)
    registry.apply([record(incarnation=6, sequence=90)], 5, 1.0, 2)
    assert registry.record("u1").incarnation == 7


def test_a_late_read_of_an_earlier_era_is_ignored():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply([record()], 9, 0.0, 1)
    registry.apply([record()], 5, 1.0, 2)
    assert not registry.apply([], 10, 9.0, 1)
    assert ids(registry) == ["u1"]
