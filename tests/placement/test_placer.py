"""Tests of the choice of an upstream under load, against a plain baseline."""

import pytest

from tests.placement import queue_model

# One region has a sixth of the upstreams of the others and as many requests.
UNEVEN = [
    queue_model.Site("a1", "a", 2, 6, 48.0),
    queue_model.Site("a2", "a", 2, 6, 48.0),
    queue_model.Site("b1", "b", 2, 1, 48.0),
    queue_model.Site("b2", "b", 1, 1, 48.0),
    queue_model.Site("c1", "c", 2, 5, 48.0),
    queue_model.Site("c2", "c", 1, 5, 48.0),
]


def worths(choose, seed):
    outcomes = queue_model.Model(UNEVEN, choose, seed).play(25.0)
    return {name: each.worth for name, each in outcomes.items()}


@pytest.mark.parametrize("seed", range(3))
def test_few_upstreams_near_the_callers_are_helped_out_by_other_regions(seed):
    own = worths(queue_model.value, seed)
    plain = worths(queue_model.least_busy, seed)
    assert min(own.values()) > min(plain.values()) + 0.3
    assert sum(own.values()) > sum(plain.values())
    # The worst data centre is served at most a fifth worse than the mean.
    assert min(own.values()) > 0.8 * sum(own.values()) / len(own)


@pytest.mark.parametrize("seed", range(3))
def test_objects_stay_where_they_are_warm(seed):
    sites = [queue_model.Site("a1", "a", 2, 6, 110.0)]
    own = queue_model.Model(sites, queue_model.value, seed).play(25.0)["a1"]
    plain = queue_model.Model(sites, queue_model.least_busy, seed).play(25.0)["a1"]
    assert own.worth > 0.85
    assert own.worth > plain.worth + 0.15


def test_requests_leave_the_region_only_for_a_better_answer():
    sites = [
        queue_model.Site("a1", "a", 2, 6, 40.0),
        queue_model.Site("b1", "b", 2, 6, 40.0),
    ]
    model = queue_model.Model(sites, queue_model.value, 1)
    model.play(20.0)
    crossed = sum(n for (own, ran), n in model.regions.items() if own != ran)
    assert crossed <= 0.05 * sum(model.regions.values())
