"""Tests of the ages of information from data centres and the platform."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.coordination import contact, evidence
from rattanlug.keys import freshness

CENTRES = ("a1", "a2", "b1", "b2", "c1")


def _contact(version=3):
    result = contact.MajorityContact("a1")
    result.apply(version, CENTRES)
    for half_second in range(200):
        result.begin_round(half_second / 2)
        result.observe(half_second / 2, {"a1": 0.0}, version)
    return result


def test_a_majority_needs_more_than_half_of_the_data_centres():
    majority_contact = _contact()
    majority_contact.observe(99.5, {"a2": 0.0}, 3)
    assert not majority_contact.in_contact(99.5)
    majority_contact.observe(99.5, {"b1": 1.0, "elsewhere": 0.0}, 3)
    assert majority_contact.in_contact(101.0)
    assert not majority_contact.in_contact(101.1)


def test_a_paused_vm_is_no_source_for_its_data_centre():
    majority_contact = _contact()
    majority_contact.begin_round(130.0)
    assert "a1" not in majority_contact.report(130.0, "b1", serving=True)
    assert majority_contact.report(130.0, "a1", serving=True) == {"a1": 0.0}
    assert majority_contact.report(130.0, "a1", serving=False) == {}
    majority_contact.observe(130.1, {"a1": 0.0}, 4)
    assert "a1" not in majority_contact.report(130.2, "b1", serving=True)
    majority_contact.apply(4, CENTRES)
    assert "a1" in majority_contact.report(130.2, "b1", serving=True)


def test_a_vm_alone_in_its_data_centre_counts_after_three_seconds():
    majority_contact = contact.MajorityContact("a1")
    majority_contact.apply(3, ["a1"])
    for half_second in range(7):
        assert not majority_contact.in_contact(half_second / 2 - 0.1)
        majority_contact.begin_round(half_second / 2)
    assert majority_contact.in_contact(3.0)
    majority_contact.observe(2.0, {"b1": 0.0}, 4)
    assert not majority_contact.in_contact(3.0)


def test_information_of_a_newer_version_counts_once_it_is_applied():
    majority_contact = _contact()
    majority_contact.observe(99.5, {"a2": 0.0, "b1": 0.0}, 4)
    assert not majority_contact.in_contact(99.5)
    majority_contact.apply(4, CENTRES)
    assert majority_contact.in_contact(99.5)


@settings(deadline=None)
@given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 2)), max_size=8))
def test_relaying_never_understates_an_age(hops):
    source_at, now, age = 100.0, 100.0, 0.0
    for wait, flight in hops:
        reported = age + wait
        asked_at = now + wait - flight
        now += wait
        relay = _contact()
        relay.observe(asked_at, {"b1": reported}, 3)
        if "b1" not in relay.ages(now):
            return
        age = relay.ages(now)["b1"]
        assert age >= now - source_at - 1e-9


def test_the_accepted_version_is_applied_in_a_majority():
    majority_contact = _contact(version=5)
    for name, version in (("a2", 5), ("b1", 4), ("b2", 9)):
        majority_contact.observe_version(name, version)
    assert majority_contact.accepted_version() == 5
    majority_contact.observe_version("a2", 2)
    assert majority_contact.accepted_version() == 5


def test_a_read_of_the_head_counts_once_its_version_is_applied():
    platform_evidence = evidence.PlatformEvidence()
    assert platform_evidence.age(5.0) == math.inf
    platform_evidence.apply(1)
    platform_evidence.observe_read(10.0, 2)
    assert platform_evidence.age(11.0) == math.inf
    platform_evidence.apply(2)
    platform_evidence.observe_peer(12.0, 3.0, 2)
    platform_evidence.observe_peer(12.0, math.inf, 0)
    assert platform_evidence.age(12.0) == 2.0


def test_keyed_routes_need_contact_or_recent_evidence():
    assert freshness.keyed_routes_allowed(9.9, False)
    assert not freshness.keyed_routes_allowed(10.0, False)
    assert freshness.keyed_routes_allowed(math.inf, True)
