"""Guards against shares and slots that two seats could use."""

from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.model import configuration, data_centre, link, upstream
from rattanlug.seats import plan, share_history, slot


def _plan(version, vms, slots=9):
    return plan.SeatPlan(
        configuration.Configuration(
            version,
            data_centres={
                name: data_centre.DataCentre(name, name[0], number)
                for name, number in vms.items()
            },
            upstreams={
                f"u-{name}": upstream.Upstream(
                    f"u-{name}", "s", "v", name, "h", 1, slots, 99
                )
                for name in vms
            },
        )
    )


plans = st.fixed_dictionaries(
    {name: st.integers(0, 4) for name in ("a1", "a2", "b1")}
).filter(lambda vms: sum(vms.values()))


@settings(deadline=None)
@given(plans)
def test_each_slot_and_share_has_one_owner(vms):
    divided = _plan(1, vms)
    owned = [entry for seat in divided.seats for entry in divided.slots(seat)]
    assert len(owned) == len(set(owned)) == 9 * sum(n > 0 for n in vms.values())
    assert abs(sum(map(divided.share, divided.seats)) - 1) < 1e-9
    pair = link.Link("a", "b", 4e9)
    from_a = [divided.link_share(s, pair) for s in divided.seats if s[0] == "a"]
    assert not from_a or abs(sum(from_a) - 1) < 1e-9
    for seat in divided.seats:
        assert all(e.upstream == f"u-{seat[:2]}" for e in divided.slots(seat))


@settings(deadline=None)
@given(plans, plans, st.floats(0, 30))
def test_seats_that_follow_different_plans_never_overlap(old, new, elapsed):
    before, after = _plan(1, old), _plan(2, new)
    ahead = share_history.ShareHistory()
    ahead.apply(before, accepted_at=-100.0)
    ahead.apply(after)
    ahead.accept(2, 0.0)
    if elapsed >= share_history.SETTLING_S:
        assert all(ahead.share(s, elapsed) == after.share(s) for s in after.seats)
        return
    seats = sorted({*before.seats, *after.seats})
    for split in range(len(seats) + 1):
        moved, behind = seats[:split], seats[split:]
        share = sum(ahead.share(s, elapsed) for s in moved)
        assert share + sum(map(before.share, behind)) <= 1 + 1e-9
        owned = [entry for s in moved for entry in ahead.slots(s, elapsed)]
        owned += [entry for s in behind for entry in before.slots(s)]
        assert len(owned) == len(set(owned))


def test_a_plan_that_applies_at_once_hands_out_too_much():
    before, after = _plan(1, {"a1": 2, "b1": 2}), _plan(2, {"a1": 1, "b1": 2})
    shares = {}
    for settling in (share_history.SETTLING_S, 0.0):
        with mock.patch.object(share_history, "SETTLING_S", settling):
            ahead = share_history.ShareHistory()
            ahead.apply(before, accepted_at=-100.0)
            ahead.apply(after)
            ahead.accept(2, 0.0)
            behind = [seat for seat in before.seats if seat != "b1/0"]
            shares[settling] = ahead.share("b1/0", 1.0) + sum(map(before.share, behind))
    assert shares[share_history.SETTLING_S] <= 1 < shares[0.0]


def test_a_vm_that_knows_no_earlier_plan_uses_nothing_at_first():
    history = share_history.ShareHistory()
    history.apply(_plan(1, {"a1": 2}))
    history.accept(1, 5.0)
    assert history.share("a1/0", 16.9) == 0
    assert history.slots("a1/0", 16.9) == frozenset()
    assert history.share("a1/0", 17.0) == 0.5
    assert slot.Slot("u-a1", 0) in history.slots("a1/0", 17.0) | history.slots(
        "a1/1", 17.0
    )
