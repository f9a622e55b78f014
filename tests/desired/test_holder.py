"""Tests of the desired state in force."""

import math

from rattanlug.desired import freshness, holder, limits, state


def version(number):
    return state.DesiredState(number, (), {}, (), limits.Limits())


def test_versions_never_go_back():
    held = holder.StateHolder()
    assert held.accept(version(5))
    assert not held.accept(version(4))
    assert not held.accept(version(5))
    assert held.version == 5


def test_age_counts_from_before_the_read_and_never_grows_younger_by_a_late_one():
    held = holder.StateHolder()
    assert held.age(10.0) == math.inf
    held.confirm(8.0)
    held.confirm(7.0)
    assert held.age(10.0) == 2.0


def test_keys_are_refused_before_the_bound_is_reached():
    assert freshness.keys_usable(4.3, 5.0)
    assert not freshness.keys_usable(4.6, 5.0)
    assert not freshness.keys_usable(math.inf, 5.0)
