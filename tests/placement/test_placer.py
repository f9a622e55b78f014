"""Tests of the placer under load in a queueing model, against a simple baseline."""

import pytest

from rattanlug.desired import bounds
from rattanlug.placement import home_selector
from tests.placement import queue_model

# Region b has about a sixth of the upstreams of the others and as many requests.
UNEVEN = [
    queue_model.Site("a1", "a", 2, 6, 48.0),
    queue_model.Site("a2", "a", 2, 6, 48.0),
    queue_model.Site("b1", "b", 2, 1, 48.0),
    queue_model.Site("b2", "b", 1, 1, 48.0),
    queue_model.Site("c1", "c", 2, 5, 48.0),
    queue_model.Site("c2", "c", 1, 5, 48.0),
]


def mean_values(policy, seed):
    outcomes = queue_model.Model(UNEVEN, policy, seed).run(25.0)
    return {name: each.mean_value for name, each in outcomes.items()}


@pytest.mark.parametrize("seed", range(3))
def test_other_regions_take_requests_of_a_region_with_few_upstreams(seed):
    placed = mean_values(queue_model.placer_policy, seed)
    baseline = mean_values(queue_model.least_busy, seed)
    assert min(placed.values()) > min(baseline.values()) + 0.3
    assert sum(placed.values()) > sum(baseline.values())
    # The worst data centre is at most a fifth below the mean.
    assert min(placed.values()) > 0.8 * sum(placed.values()) / len(placed)


@pytest.mark.parametrize("seed", range(3))
def test_requests_go_to_the_upstream_that_has_their_object_cached(seed):
    sites = [queue_model.Site("a1", "a", 2, 6, 110.0)]
    placed = queue_model.Model(sites, queue_model.placer_policy, seed).run(25.0)["a1"]
    baseline = queue_model.Model(sites, queue_model.least_busy, seed).run(25.0)["a1"]
    assert placed.mean_value > 0.85
    assert placed.mean_value > baseline.mean_value + 0.15


def test_without_overload_few_requests_leave_their_region():
    sites = [
        queue_model.Site("a1", "a", 2, 6, 40.0),
        queue_model.Site("b1", "b", 2, 6, 40.0),
    ]
    model = queue_model.Model(sites, queue_model.placer_policy, 1)
    model.run(20.0)
    crossed = sum(
        n for (origin, target), n in model.regions.items() if origin != target
    )
    assert crossed <= 0.05 * sum(model.regions.values())


# Region a has a quarter of the upstreams of region c, and as many requests.
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
        (STARVED, "a", {"cache_size": 68, "objects": 136, "slots": 9}),
        (UNEVEN, "b", {}),
    ],
)
@pytest.mark.parametrize("seed", range(1, 6))
def test_the_shift_out_of_a_starved_region_stays_within_its_limit_from_the_start(
    sites, region, sizes, seed
):
    # All VMs start together, and one region has too few upstreams.
    model = queue_model.Model(sites, queue_model.placer_policy, seed, **sizes)
    model.run(10.0, warm_up=0.0)
    moved, at = model.greatest_shift(region)
    assert moved <= SHIFT_BOUND, at


# More objects are requested in each data centre than its upstreams could cache during
# a burst. Together, the data centres of a region can cache them.
RARE_OBJECTS = [
    queue_model.Site(f"{region}{number}", region, 4, upstreams, 25.0)
    for number in range(3)
    for region, upstreams in (("a", 6), ("b", 25))
]


@pytest.mark.parametrize("seed", range(3))
def test_rarely_requested_objects_have_one_home_in_a_region(seed, monkeypatch):
    # After a start, many objects are each requested a few times a minute.
    sizes = {"cache_size": 18, "objects": 200, "slots": 9, "cold": 1.9, "warm": 0.57}

    def worst_mean_value():
        model = queue_model.Model(
            RARE_OBJECTS,
            queue_model.placer_policy,
            seed,
            target=1.25,
            timeout=10.0,
            **sizes,
        )
        return min(each.mean_value for each in model.run(16.0, warm_up=8.0).values())

    single_home = worst_mean_value()
    # The baseline has a home in each data centre.
    monkeypatch.setattr(
        home_selector.HomeSelector, "_prefers_local_homes", lambda *args: True
    )
    assert single_home > worst_mean_value() + 0.1
