"""Tests of the limit on series; labels change with the configuration."""

from rattanlug.metrics import counters, histograms


def test_labels_beyond_the_limit_share_one_series():
    found = counters.Counters(max_series=3)
    for n in range(10):
        found.add("requests", route=f"r{n}")
    assert sum(value for _, _, value in found.items()) == 10
    assert found.value("requests", overflow="true") == 7
    found.add("requests", route="r0")
    assert found.value("requests", route="r0") == 2


def test_labels_beyond_the_limit_share_one_histogram():
    found = histograms.Histograms(max_series=2)
    for n in range(5):
        found.record("request", 0.001, route=f"r{n}")
    counts = [item.get_total_count() for _, _, item in found.items()]
    assert sum(counts) == 5 and len(counts) == 3
