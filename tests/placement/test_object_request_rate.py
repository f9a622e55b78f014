"""Tests of the estimated request rate per object."""

import random

import pytest

from rattanlug.placement import object_request_rate


@pytest.mark.parametrize(
    ("objects", "rate"), [(413, 20.0), (174, 100.0), (78, 24.0), (30, 300.0)]
)
@pytest.mark.parametrize("seconds", [5.0, 30.0])
def test_the_estimate_is_near_the_true_rate(objects, rate, seconds):
    rng = random.Random(1)
    object_rate, at = object_request_rate.ObjectRequestRate(), 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        object_rate.record(str(rng.randrange(objects)), at)
    assert object_rate.rate == pytest.approx(rate / objects, rel=0.6)


def test_there_is_no_estimate_before_the_minimum_number_of_requests():
    object_rate = object_request_rate.ObjectRequestRate()
    for index in range(object_request_rate.MIN_REQUESTS - 1):
        object_rate.record(str(index), 2.0 * index)
    assert object_rate.rate is None
    object_rate.record("new", 20.0)
    assert object_rate.rate == 0.0


def test_the_estimate_follows_the_load():
    object_rate, at = object_request_rate.ObjectRequestRate(), 0.0
    for index in range(30_000):
        at += 0.002
        object_rate.record(str(index % 50), at)
    busy = object_rate.rate
    for index in range(500):
        at += object_request_rate.PERIOD_SECONDS / 250
        object_rate.record(str(index % 50), at)
    assert object_rate.rate < 0.1 * busy
