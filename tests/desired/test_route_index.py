"""Tests of the index of routes."""

from rattanlug.desired import route, route_index, weighted_service


def build(name, prefix, host="a.example"):
    weighted_services = (weighted_service.WeightedService("s", 1.0),)
    return route.Route(
        name,
        host,
        prefix,
        True,
        1.0,
        0.5,
        0,
        weighted_services,
        2,
        False,
        True,
        frozenset(),
    )


def test_the_longest_prefix_of_the_host_wins():
    index = route_index.RouteIndex(
        [build("short", "/a/"), build("long", "/a/b/"), build("other", "/a/", "b.test")]
    )
    assert index.find("a.example", "/a/x").name == "short"
    assert index.find("A.example:80", "/a/b/x").name == "long"
    assert index.find("b.test", "/a/b/x").name == "other"


def test_a_prefix_matches_whole_segments_only():
    index = route_index.RouteIndex([build("short", "/a/")])
    assert index.find("a.example", "/ab") is None
    assert index.find("a.example", "/a") is None
    assert index.find("unknown.example", "/a/") is None
