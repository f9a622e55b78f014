"""Tests of the service times of a route."""

from rattanlug.placement import service_times


def test_the_initial_estimate_admits_a_new_route_and_soon_adapts():
    # Guards against rejecting all requests of a route because of the initial estimate,
    # which then would never be corrected.
    times = service_times.ServiceTimes(0.4, affinity=False)
    assert times.cold < 0.4
    for _ in range(10):
        times.learn(0.003)
    assert times.cold < 0.1


def test_warm_and_cold_times_are_estimated_separately():
    times = service_times.ServiceTimes(0.4, affinity=True)
    for _ in range(200):
        times.learn(0.15)
        times.learn(0.5)
    assert abs(times.warm - 0.15) < 0.01
    assert abs(times.cold - 0.5) < 0.01
