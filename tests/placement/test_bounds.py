"""Tests of the constraints and limits of the selection of an upstream."""

import random

import pytest

from rattanlug.desired import bounds, service
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import cold_budget, placement_request, placer, region_shift

BOUNDS = bounds.Bounds()


def record(name, data_centre="d1", version="v1", cold=0.0, sequence=1):
    return upstream_record.UpstreamRecord(
        name, 1, sequence, "s", version, "h", 1, data_centre, 5, False, cold
    )


def make_request(**changes):
    request = placement_request.PlacementRequest(
        "s", "r", "o", True, 0.4, 1.0, 1.0, None, None, frozenset()
    )
    return request._replace(**changes)


def build(records, senders=2, data_centre="d1", warmup_rate=7.4, **options):
    registry = upstream_registry.UpstreamRegistry()
    registry.apply(records, 1, 0.0)
    regions = {"d1": "r1", "d2": "r1", "d3": "r2"}
    built = placer.Placer(
        data_centre,
        regions[data_centre],
        regions,
        registry,
        BOUNDS,
        lambda name: senders,
        lambda name, now: senders,
        random.Random(1),
        **options,
    )
    built.configure({"s": service.Service("s", 100, 3.0, warmup_rate)})
    return built


def test_home_regions_versions_and_exclusions_are_respected():
    chooser = build([record("u1"), record("u2", "d3", "v2")])
    times = chooser.times("r", 0.4, True)

    def name(**changes):
        chosen = chooser.choose(make_request(**changes), times, 0.0)
        return chosen and chosen.record.id

    assert name() == "u1"
    assert name(home_regions=frozenset({"r2"})) == "u2"
    assert name(versions=frozenset({"v2"})) == "u2"
    assert name(excluded=frozenset({"u1"})) == "u2"
    assert name(home_regions=frozenset({"r2"}), excluded=frozenset({"u2"})) is None
    chooser.evacuate(frozenset({"d1"}))
    assert name() == "u2"


# With the larger numbers of VMs, guards against a cold upstream that gets no requests
# since the share of each VM is less than one.
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(("count", "rate"), [(2, 7.4), (2, 15.0), (9, 4.0), (10, 4.0)])
def test_all_vms_together_stay_within_the_limit_of_a_cold_upstream(seed, count, rate):
    rng = random.Random(seed)
    cold = record("u1", cold=10.0)
    vms = [build([cold], senders=count, warmup_rate=rate) for _ in range(count)]
    times = vms[0].times("r", 0.4, True)
    sent, now = [], 0.0
    while now < 8.0:
        now += rng.expovariate(200.0)
        vm = rng.choice(vms)
        chosen = vm.choose(make_request(), times, now)
        if chosen is not None:
            token = vm.begin(chosen.record, "o", now)
            vm.load(chosen.record, now).end(token)
            sent.append(now)
    bound = rate * BOUNDS.cold_factor + BOUNDS.cold_slack
    assert sent
    for at in sent:
        assert sum(at - 1.0 < each <= at for each in sent) <= bound


# Guards against a limit that is exceeded as soon as one VM is unknown to the others.
@pytest.mark.parametrize(("count", "bound"), [(9, 8.5), (12, 11.0), (6, 5.0)])
def test_one_unknown_vm_does_not_exceed_the_limit_of_a_cold_upstream(count, bound):
    budgets = [cold_budget.ColdBudget() for _ in range(count)]
    sent = 0
    for each in budgets:
        while each.allows(bound, count - 1, 1.0):
            each.count(1.0)
            sent += 1
    assert sent <= bound


def send_all_that_are_allowed(chooser, now, limit=100):
    """Send requests until the placer rejects one; return how many were sent."""
    times = chooser.times("r", 0.4, True)
    count = 0
    while (
        count < limit
        and (chosen := chooser.choose(make_request(), times, now)) is not None
    ):
        token = chooser.begin(chosen.record, "o", now)
        chooser.load(chosen.record, now).end(token)
        count += 1
    return count


# Guards against a cold upstream that gets its limit once more each time when its
# registration is missing for a moment, or when it restarts under the same id.
@pytest.mark.parametrize("incarnation", [1, 2])
def test_a_registration_that_returns_does_not_renew_the_limit(incarnation):
    chooser = build([record("u1", cold=10.0)])
    first = send_all_that_are_allowed(chooser, 1.0)
    assert first > 0
    chooser._registry.apply([], 2, 1.1)
    chooser.upstreams_changed(1.1)
    returned = record("u1", cold=10.0, sequence=2)._replace(incarnation=incarnation)
    chooser._registry.apply([returned], 3, 1.2)
    chooser.upstreams_changed(1.2)
    assert send_all_that_are_allowed(chooser, 1.3) == 0
    later = 1.0 + cold_budget.WINDOW_SECONDS + 0.01
    assert send_all_that_are_allowed(chooser, later) == first


def test_budgets_of_upstreams_that_are_gone_are_removed():
    chooser = build([record("u1", cold=10.0)])
    send_all_that_are_allowed(chooser, 1.0)
    chooser._registry.apply([], 2, 1.1)
    for now in (1.1, 3.0):
        chooser.upstreams_changed(now)
    assert chooser._cold_budgets == {}


def test_a_request_that_is_sent_late_counts_from_then_on():
    chooser = build([record("u1", cold=10.0)])
    first = send_all_that_are_allowed(chooser, 1.0)
    later = 1.0 + cold_budget.WINDOW_SECONDS + 0.1
    cold = record("u1", cold=10.0)
    assert all(chooser.may_send(cold, 1.0, later) for _ in range(first))
    assert not chooser.may_send(cold, 1.0, later)
    assert send_all_that_are_allowed(chooser, later) == 0


# Guards against a cold upstream that gets its limit in addition to the requests of VMs
# of other data centres that hadn't learned yet that it had become cold.
@pytest.mark.parametrize("incarnation", [1, 2])
def test_requests_sent_before_an_upstream_became_cold_do_not_add_to_its_limit(
    incarnation,
):
    vms = [build([record("u1")], data_centre=name) for name in ("d1", "d1", "d2")]
    sent_by_remote_vm = send_all_that_are_allowed(vms[2], 1.0, 10)
    turned = record("u1", sequence=2, cold=10.0)._replace(incarnation=incarnation)
    for chooser in vms:
        chooser._registry.apply([turned], 2, 1.3)
    sent = [send_all_that_are_allowed(each, 1.4) for each in vms]
    bound = 7.4 * BOUNDS.cold_factor + BOUNDS.cold_slack
    assert sent_by_remote_vm + sum(sent) <= bound
    later = 1.3 + cold_budget.WINDOW_SECONDS
    assert send_all_that_are_allowed(vms[0], later) > 0


# Guards against memory that grows with each request to an upstream that stays warm.
def test_budgets_keep_the_requests_of_one_window_only():
    budget = cold_budget.ColdBudget()
    for index in range(1000):
        budget.count(0.1 * index)
    assert len(budget._sends) <= 13


# Guards against a VM whose new process sends its whole share again within the second in
# which its previous process was killed.
def test_a_vm_that_has_just_started_sends_nothing_to_cold_upstreams():
    chooser = build([record("u1", cold=10.0)], started_at=5.0)
    assert send_all_that_are_allowed(chooser, 5.5) == 0
    assert send_all_that_are_allowed(chooser, 5.0 + cold_budget.WINDOW_SECONDS) > 0


def test_a_cold_upstream_gets_no_requests_from_vms_of_other_data_centres():
    chooser = build([record("u1", "d2", cold=10.0)])
    assert chooser.choose(make_request(), chooser.times("r", 0.4, True), 0.0) is None


def test_cold_budgets_count_a_sliding_window():
    budget = cold_budget.ColdBudget()
    for at in (0.0, 0.1, 0.2, 0.3):
        assert budget.allows(10.0, 2, at)
        budget.count(at)
    assert not budget.allows(10.0, 2, 0.9)
    assert budget.allows(10.0, 2, 0.0 + cold_budget.WINDOW_SECONDS + 0.01)


@pytest.mark.parametrize("seed", range(5))
def test_the_share_of_a_region_changes_within_its_limit(seed):
    """The preferred region changes at once; the share follows over several windows."""
    rng = random.Random(seed)
    shift = region_shift.RegionShiftLimiter(0.15)
    sends, now = [], 0.0
    while now < 20.0:
        now += rng.expovariate(60.0)
        region = "far" if now >= 6.0 else "near"
        if not shift.allowed_regions(now)(region):
            region = "near" if region == "far" else "far"
        shift.count(region, now)
        sends.append((now, region))
    at = 4.0
    while at + 4.0 < 20.0:
        shares = []
        for begin in (at, at + 2.0):
            window = [each for when, each in sends if begin <= when < begin + 2.0]
            shares.append(window.count("far") / len(window))
        assert abs(shares[1] - shares[0]) <= 0.15
        at += 0.1


def test_a_new_upstream_is_tried_within_a_few_requests():
    chooser = build([record(f"u{n}") for n in range(3)])
    times = chooser.times("r", 0.4, True)

    def send(index, now):
        chosen = chooser.choose(make_request(object_id=f"o{index % 20}"), times, now)
        token = chooser.begin(chosen.record, f"o{index % 20}", now)
        load = chooser.load(chosen.record, now)
        load.end(token)
        load.note_answer(now + 0.1)
        return chosen.record.id

    for index in range(200):
        send(index, index * 0.05)
    chooser._registry.apply([record(f"u{n}") for n in range(4)], 2, 10.0)
    chooser.upstreams_changed(10.0)
    targets = [send(index, 10.0 + index * 0.05) for index in range(40)]
    assert "u3" in targets[:5]
