"""Tests of reading counters: a trial must not pass if a daemon counted faults."""

from trial import metrics_text

VIOLATIONS = 'rattanlug_violations_total{invariant="shift_cap"} 0\n'


def test_violations_and_faults_are_read():
    text = (
        'rattanlug_loop_failures_total{loop="seats"} 2\n'
        'rattanlug_loop_failures_total{loop="gossip"} 1\n'
        "rattanlug_internal_errors_total 4\n" + VIOLATIONS
    )
    assert metrics_text.read_violations(text) == {
        "shift_cap": 0,
        "loop_failures": 3,
        "internal_errors": 4,
    }


def test_exposition_without_violations_is_empty():
    assert metrics_text.read_violations("rattanlug_internal_errors_total 4\n") == {}
