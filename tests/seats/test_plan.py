"""Tests that no two seats use the same slot or share."""

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
    seat_plan = _plan(1, vms)
    owned = [entry for seat in seat_plan.seats for entry in seat_plan.slots(seat)]
    assert len(owned) == len(set(owned)) == 9 * sum(n > 0 for n in vms.values())
    assert abs(sum(map(seat_plan.share, seat_plan.seats)) - 1) < 1e-9
    pair = link.Link("a", "b", 4e9)
    from_a = [seat_plan.link_share(s, pair) for s in seat_plan.seats if s[0] == "a"]
    assert not from_a or abs(sum(from_a) - 1) < 1e-9
    for seat in seat_plan.seats:
        assert all(e.upstream == f"u-{seat[:2]}" for e in seat_plan.slots(seat))


@settings(deadline=None)
@given(plans, plans, st.floats(0, 30))
def test_seats_that_use_different_plans_never_overlap(old, new, elapsed):
    before, after = _plan(1, old), _plan(2, new)
    updated = share_history.ShareHistory()
    updated.apply(before, accepted_at=-100.0)
    updated.apply(after)
    updated.accept(2, 0.0)
    if elapsed >= share_history.SETTLING_S:
        assert all(updated.share(s, elapsed) == after.share(s) for s in after.seats)
        return
    seats = sorted({*before.seats, *after.seats})
    for split in range(len(seats) + 1):
        updated_seats, outdated_seats = seats[:split], seats[split:]
        share = sum(updated.share(s, elapsed) for s in updated_seats)
        assert share + sum(map(before.share, outdated_seats)) <= 1 + 1e-9
        owned = [entry for s in updated_seats for entry in updated.slots(s, elapsed)]
        owned += [entry for s in outdated_seats for entry in before.slots(s)]
        assert len(owned) == len(set(owned))


def test_a_plan_that_applies_at_once_exceeds_the_limits():
    before, after = _plan(1, {"a1": 2, "b1": 2}), _plan(2, {"a1": 1, "b1": 2})
    shares = {}
    for settling in (share_history.SETTLING_S, 0.0):
        with mock.patch.object(share_history, "SETTLING_S", settling):
            updated = share_history.ShareHistory()
            updated.apply(before, accepted_at=-100.0)
            updated.apply(after)
            updated.accept(2, 0.0)
            outdated_seats = [seat for seat in before.seats if seat != "b1/0"]
            shares[settling] = updated.share("b1/0", 1.0) + sum(
                map(before.share, outdated_seats)
            )
    assert shares[share_history.SETTLING_S] <= 1 < shares[0.0]


def test_a_vm_without_earlier_plans_uses_nothing_at_first():
    history = share_history.ShareHistory()
    history.apply(_plan(1, {"a1": 2}))
    history.accept(1, 5.0)
    assert history.share("a1/0", 16.9) == 0
    assert history.slots("a1/0", 16.9) == frozenset()
    assert history.share("a1/0", 17.0) == 0.5
    assert slot.Slot("u-a1", 0) in history.slots("a1/0", 17.0) | history.slots(
        "a1/1", 17.0
    )
