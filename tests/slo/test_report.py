"""Guards against false or missing burn rate alerts and against lost counts."""

import json
import xml.etree.ElementTree as ET

import pytest

from rattanlug.model import objective
from rattanlug.slo import burn, evaluation, recorder, report

HOUR = 3600
OBJECTIVES = (
    objective.Objective("*", "*", 0.9, 5.0),
    objective.Objective("urdina", "view", 0.99, 0.2),
)


def filled(vm, bad_share, hours, end=72 * HOUR, latency=0.01):
    """Return the snapshot of a VM with 100 requests per minute until ``end``."""
    counted = recorder.Recorder(vm, end - hours * HOUR, OBJECTIVES)
    for minute in range(hours * 60):
        now = end - hours * HOUR + minute * 60
        for index in range(100):
            good = index >= bad_share * 100
            counted.record("urdina", "view", good, latency, now)
    return json.loads(json.dumps(counted.snapshot(end)))


@pytest.mark.parametrize(
    "bad_share, hours, severity",
    [(0.0, 1, "ok"), (0.2, 1, "page"), (0.07, 7, "page"), (0.04, 25, "ticket")],
)
def test_severity_follows_the_burn_rate(bad_share, hours, severity):
    """A missed page prolongs an outage; a false one wakes somebody needlessly."""
    found = evaluation.evaluate([filled("a", bad_share, hours)], OBJECTIVES)
    assert [each.severity for each in found] == [severity]


def test_paging_stops_when_the_failure_ends():
    """Without the short window, an alert would last an hour after the repair."""
    counted = recorder.Recorder("a", 0, OBJECTIVES)
    for second in range(3000):
        counted.record("urdina", "view", second >= 1200, 0.01, float(second))
    rates = evaluation.evaluate([counted.snapshot(3000)], OBJECTIVES)[0].rates
    assert rates[0].long > rates[0].window.threshold
    assert not rates[0].fires


def test_slow_responses_use_up_the_budget_of_the_most_specific_objective():
    """A latency within the general limit may exceed that of the organisation."""
    found = evaluation.evaluate([filled("a", 0.0, 1, latency=0.5)], OBJECTIVES)[0]
    assert found.series.windows[HOUR].slow == found.series.windows[HOUR].total
    assert found.severity == "page"


def test_counts_of_several_vms_add_up_and_each_vm_counts_once():
    """Counts that two daemons return for the same VM must not count twice."""
    good, bad = filled("a", 0.0, 1), filled("b", 0.2, 1)
    found = evaluation.evaluate([good, bad, bad], OBJECTIVES)[0]
    assert found.series.windows[259200] == (12000, 1200, 0)
    assert found.series.latency.get_total_count() == 12000
    assert sum(each.total for each in found.series.history) == 12000


def test_rings_and_histogram_count_the_same_requests():
    """If metrics and burn report differ, neither can be relied on."""
    counted = recorder.Recorder("a", 0, OBJECTIVES)
    for latency in (0.0, 1e-9, 0.1, 61.0, 1e9):
        counted.record("urdina", "view", True, latency, 1.0)
    only = counted.snapshot(2.0)["series"][0]
    assert only["windows"]["300"] == [5, 0, 2]
    assert counted.histograms["urdina", "view"].get_total_count() == 5


def test_series_are_bounded(monkeypatch):
    """Memory must not grow with invented names in requests."""
    monkeypatch.setattr(recorder, "MAX_SERIES", 2)
    counted = recorder.Recorder("a", 0, OBJECTIVES)
    for index in range(10):
        counted.record(f"o{index}", "view", True, 0.1, 1.0)
    assert len(counted.histograms) == 3
    assert counted.dropped == 8
    text = report.render_text([counted.snapshot(2.0)], OBJECTIVES, 0.0)
    assert "8 requests are counted under *overflow" in text


def test_text_marks_firing_windows():
    """An operator must see immediately which objective is at risk."""
    text = report.render_text([filled("a", 0.2, 1)], OBJECTIVES, 1_764_838_800.0)
    lines = text.splitlines()
    assert lines[0].startswith("Burn rates at 2025-12-04T09:00:00Z, VMs: 1")
    assert lines[3].split()[:4] == ["page", "urdina", "view", "0.99"]
    assert "20/20!" in lines[3]


@pytest.mark.parametrize("snapshots", [[], [filled("a", 0.2, 2)]])
def test_chart_is_self_contained(snapshots):
    """A chart that loads scripts or styles stays empty on an operator's machine."""
    text = report.render_svg(snapshots, OBJECTIVES, 1_764_838_800.0)
    root = ET.fromstring(text)
    assert not [each for each in root.iter() if each.tag.endswith("script")]
    assert "xml-stylesheet" not in text
    assert ("urdina/view" in text) == bool(snapshots)


def test_burn_rate_is_zero_without_requests():
    """A time without requests is not an outage."""
    assert burn.burn_rate(evaluation.merged.counts.Counts(), 0.999) == 0.0


def test_long_limits_are_shown_in_seconds():
    """A limit of one second was once shown as 1e+03 ms."""
    general = (OBJECTIVES[0]._replace(latency=1.0),)
    assert "  1 s  " in report.render_text([filled("a", 0.0, 1)], general, 0.0)
