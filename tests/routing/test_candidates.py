"""Tests of the eligible upstreams and their tiers."""

from rattanlug.model import drain
from rattanlug.routing import candidates
from tests.routing import builders


def names(found):
    return [[item.name for item in tier] for tier in found]


def test_tiers_follow_distance_and_version():
    """Guards against requests that cross regions although a near upstream is free."""
    found = candidates.candidates(builders.build(), "s", "v2", "a1", "a")
    assert names(found) == [["a1-2"], ["a2-2"], ["b1-2"]]


def test_drained_upstreams_are_excluded():
    """Guards against new requests to a drained upstream or data centre."""
    target = drain.DrainTarget
    current = builders.build(
        [(target.UPSTREAM, "a1-1"), (target.DATA_CENTRE, "b1"), (target.VM, "a2-1")]
    )
    found = candidates.candidates(current, "s", "v1", "a1", "a")
    assert names(found) == [[], ["a2-1"], []]
