"""Tests of the desired state in force and its age."""

import math

from rattanlug.desired import freshness, holder, limits, state


def desired_state(version):
    return state.DesiredState(version, (), {}, (), limits.Limits())


def test_the_version_never_decreases():
    states = holder.StateHolder()
    assert states.accept(desired_state(5))
    assert not states.accept(desired_state(4))
    assert not states.accept(desired_state(5))
    assert states.version == 5


def test_the_age_counts_from_the_latest_confirmed_read():
    # A confirmation of an earlier read may arrive later.
    states = holder.StateHolder()
    assert states.age(10.0) == math.inf
    states.confirm(8.0)
    states.confirm(7.0)
    assert states.age(10.0) == 2.0


def test_keys_are_rejected_before_the_limit_is_reached():
    assert freshness.keys_usable(4.3, 5.0)
    assert not freshness.keys_usable(4.6, 5.0)
    assert not freshness.keys_usable(math.inf, 5.0)
