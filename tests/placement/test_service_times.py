"""Tests of the service times of a route."""

from rattanlug.placement import service_times


def test_a_new_route_is_tried_and_soon_known_to_be_fast():
    # Guards against refusing a route for a time that was only assumed.
    times = service_times.ServiceTimes(0.4, affinity=False)
    assert times.cold < 0.4
    for _ in range(10):
        times.learn(0.003)
    assert times.cold < 0.1


def test_warm_and_cold_times_are_learnt_apart():
    times = service_times.ServiceTimes(0.4, affinity=True)
    for _ in range(200):
        times.learn(0.15)
        times.learn(0.5)
    assert abs(times.warm - 0.15) < 0.01
    assert abs(times.cold - 0.5) < 0.01
