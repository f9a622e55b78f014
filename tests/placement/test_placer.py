"""Tests of the choice of an upstream under load, against a plain baseline."""

import pytest

from rattanlug.desired import bounds
from rattanlug.placement import home_selector
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


# One region has an eighth of the upstreams of another one, and as many requests.
STARVED = [
    queue_model.Site("a1", "a", 3, 2, 140.0),
    queue_model.Site("a2", "a", 2, 2, 140.0),
    queue_model.Site("b1", "b", 2, 7, 100.0),
    queue_model.Site("b2", "b", 1, 7, 100.0),
    queue_model.Site("c1", "c", 3, 8, 140.0),
    queue_model.Site("c2", "c", 1, 8, 140.0),
]
SHIFT_BOUND = bounds.Bounds().region_shift


@pytest.mark.parametrize(
    ("sites", "region", "sizes"),
    [
        (STARVED, "a", {"kept": 68, "objects": 136, "slots": 9}),
        (UNEVEN, "b", {}),
    ],
)
@pytest.mark.parametrize("seed", range(1, 6))
def test_requests_leave_a_starved_region_steadily_from_the_start(
    sites, region, sizes, seed
):
    # Load pattern: all VMs start together, and one region has too few upstreams.
    model = queue_model.Model(sites, queue_model.value, seed, **sizes)
    model.play(10.0, warm_up=0.0)
    moved, at = model.greatest_shift(region)
    assert moved <= SHIFT_BOUND, at


# Each data centre is asked for more objects than it could warm in the time of a
# burst; together, those of a region can.
RARE_OBJECTS = [
    queue_model.Site(f"{region}{number}", region, 4, upstreams, 25.0)
    for number in range(3)
    for region, upstreams in (("a", 6), ("b", 25))
]


@pytest.mark.parametrize("seed", range(3))
def test_objects_that_are_asked_for_rarely_are_warm_once_in_a_region(seed, monkeypatch):
    # Load pattern: many objects, each asked for a few times a minute, after a start.
    sizes = {"kept": 18, "objects": 200, "slots": 9, "cold": 1.9, "warm": 0.57}

    def worst():
        model = queue_model.Model(
            RARE_OBJECTS, queue_model.value, seed, target=1.25, timeout=10.0, **sizes
        )
        return min(each.worth for each in model.play(16.0, warm_up=8.0).values())

    own = worst()
    # The baseline: a home in each data centre.
    monkeypatch.setattr(home_selector.HomeSelector, "_pays_locally", lambda *some: True)
    assert own > worst() + 0.1
