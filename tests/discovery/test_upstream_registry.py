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
