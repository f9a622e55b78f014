"""Tests that violations are counted."""

from rattanlug.invariants import invariant, violations


def test_only_false_conditions_count():
    counts = violations.Violations()
    for name in invariant.Invariant:
        assert counts.check(name, True)
        assert not counts.check(name, False)
    assert set(counts.counts.values()) == {1}
    assert counts.total == len(invariant.Invariant)
