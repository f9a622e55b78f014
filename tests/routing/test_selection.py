"""Tests of selection with ejected and stalled upstreams."""

import random

from rattanlug.routing import policy, selection, slot_ledger, upstream_state
from tests.routing import builders


def select_upstream(states, now, *, include_suspects):
    upstreams = [builders.build().upstreams[name] for name in states]
    ledger = slot_ledger.SlotLedger()
    ledger.set_owned({name: [0, 1, 2] for name in states}, 0.0, 0.0)
    chosen_policy = policy.create()
    rng = random.Random(1)
    return selection.select(
        upstreams,
        ledger,
        states,
        chosen_policy,
        now,
        rng,
        include_suspects=include_suspects,
    )


def make_states(failing):
    states = {}
    for name in ("a1-1", "a2-1", "b1-1"):
        states[name] = upstream_state.UpstreamState(0.0)
        for n in range(3):
            now = 0.1 * (n + 1)
            request = states[name].start(now - 0.1)
            states[name].finish(request, now, failed=name in failing)
    return states


def test_ejected_upstreams_are_excluded_unless_most_are_ejected():
    """Guards against rejecting every request if a common fault ejects all upstreams."""
    states = make_states({"a1-1"})
    assert select_upstream(states, 0.4, include_suspects=True) != "a1-1"
    states = make_states({"a1-1", "a2-1", "b1-1"})
    assert select_upstream(states, 0.4, include_suspects=False) is None
    assert select_upstream(states, 0.4, include_suspects=True) is not None
    for state in states.values():
        state.set_leaving(upstream_state.LeavingSource.RULE, True, 0.4)
    assert select_upstream(states, 0.4, include_suspects=True) is None


def test_stalled_upstream_is_the_last_resort():
    """Guards against requests to a stalled upstream while another one is free."""
    states = make_states(set())
    for name in ("a1-1", "a2-1"):
        states[name].start(0.4)
    assert select_upstream(states, 1.0, include_suspects=False) == "b1-1"
    states["b1-1"].start(0.4)
    assert select_upstream(states, 1.0, include_suspects=False) is None
    assert select_upstream(states, 1.0, include_suspects=True) is not None
