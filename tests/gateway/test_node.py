"""Tests of the state of one gateway daemon."""

import tomllib

import pytest

from rattanlug.daemon import clock
from rattanlug.desired import organisation, service
from rattanlug.discovery import upstream_record
from rattanlug.fleet import digest
from rattanlug.gateway import node as node_module
from rattanlug.gateway import run
from rattanlug.placement import placement_request
from rattanlug.platform import boot_settings
from trial.shared_platform import boot_file


def text(**changes):
    return boot_file.render("vm-1", "127.0.1.1", 9000, 9500, **changes)


@pytest.fixture
def node():
    return node_module.Node(boot_settings.decode(tomllib.loads(text())))


def test_valid_settings_are_reloaded_and_invalid_ones_are_ignored(node, tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(text(bounds={"revoke_s": 2}))
    run.reload(node, str(path))
    assert node.settings.bounds.key_withdrawal == 2
    path.write_text("node_name = 3")
    run.reload(node, str(path))
    assert node.settings.bounds.key_withdrawal == 2


def make_digest(vm, demand, sequence=1):
    return digest.Digest(vm, 1, sequence, "north-a", "h", 1, False, 1, demand, (), ())


def test_demand_of_a_silent_vm_counts_while_it_may_still_accept_keys(node):
    now = clock.now()
    for vm in ("vm-2", "vm-3", "vm-4"):
        node.peers.record_digest(make_digest(vm, {"o": 1.0}), now)
    for vm in ("vm-2", "vm-3"):
        node.peers.record_digest(make_digest(vm, {"o": 2.0}, 2), now + 6.0)
    assert node.peer_demand(now + 6.0)[1] == 3
    assert node.peer_demand(now + 8.0)[1] == 2


def test_a_vm_that_is_cut_off_keeps_its_rate_share(node):
    now = clock.now()
    for vm in ("vm-2", "vm-3", "vm-4"):
        node.peers.record_digest(make_digest(vm, {"o": 1.0}), now)
    assert node.peer_demand(now + 20.0)[1] == 3
    assert node.peer_demand(now + 30.0) == ([], 0)


def test_a_silent_vm_leaves_the_look_ups_within_the_bound(node):
    now = clock.now()
    node.peers.record_digest(make_digest("vm-2", {}), now)
    assert [each.vm for each in node.live_vms(now + 3.0)] == ["vm-1", "vm-2"]
    assert [each.vm for each in node.live_vms(now + 4.0)] == ["vm-1"]


def make_node(vm, data_centre="north-a"):
    settings = boot_file.render(vm, "127.0.1.1", 9000, 9500, data_centre)
    return node_module.Node(boot_settings.decode(tomllib.loads(settings)))


def sends_to_a_cold_upstream(nodes, now):
    """Return how many requests VMs send together, until all of them reject."""
    cold = upstream_record.UpstreamRecord(
        "u1", 1, 1, "s", "v1", "h", 1, "north-a", 50, False, 1000.0
    )
    wanted = placement_request.PlacementRequest(
        "s", "r", None, True, 0.4, 1.0, 1.0, None, None, frozenset()
    )
    count = 0
    for each in nodes:
        each.placer.start(now - 100.0)
        each.placer.configure({"s": service.Service("s", 100, 3.0, 7.4)})
        each.registry.apply([cold], 1, now)
        times = each.placer.times("r", 0.4, False)
        while (chosen := each.placer.choose(wanted, times, now)) is not None:
            each.placer.begin(chosen.record, None, now)
            count += 1
    return count


# Guards against VMs that each take a larger share of a cold upstream's limit while they
# have heard nothing of each other for a while.
@pytest.mark.parametrize("data_centres", [("north-a",) * 4, ("north-a", "north-b")])
def test_silent_vms_stay_within_the_limit_of_a_cold_upstream(data_centres):
    now = clock.now()
    names = {f"vm-{index}": each for index, each in enumerate(data_centres)}
    nodes = [make_node(*each) for each in names.items()]
    for node in nodes:
        for vm, data_centre in names.items():
            report = make_digest(vm, {})._replace(data_centre=data_centre)
            node.peers.record_digest(report, now - 20.0)
        node.record_registered_vm(node.settings.data_centre, node.settings.vm)
    bounds = nodes[0].settings.bounds
    sent = sends_to_a_cold_upstream(nodes, now)
    assert 0 < sent <= 7.4 * bounds.cold_factor + bounds.cold_slack


def test_a_vm_that_has_not_read_the_registered_vms_spares_cold_upstreams(node):
    now = clock.now()
    assert sends_to_a_cold_upstream([node], now) == 0
    node.record_registered_vm("north-a", "vm-1")
    assert sends_to_a_cold_upstream([node], now) > 0


def test_a_vm_that_has_left_does_not_count_as_a_sender(node):
    now = clock.now()
    node.record_registered_vm("north-a", "vm-1")
    node.peers.record_digest(make_digest("vm-2", {})._replace(leaving=True), now)
    assert node.possible_senders("north-a", now + 6.0) == 2
    assert node.possible_senders("north-a", now + 8.0) == 1


# Guards against limits that stay as they were at the start, or at the first request of
# a service, after a reload of the settings.
def test_a_reload_changes_the_limits_in_use(node):
    now = clock.now()
    node.record_registered_vm(node.settings.data_centre, node.settings.vm)
    limited = organisation.Organisation("o", frozenset(), None, 1.0, 5.0, frozenset())
    node.limiters.configure([limited], now)
    node.limiters.update_shares([], 1, now)
    retries = node.retry_budget("s")
    assert retries.try_retry(1, now)
    node.reload(
        node.settings._replace(
            bounds=node.settings.bounds._replace(
                retry_ratio=0.0,
                retry_slack=0.0,
                rate_overage=0.0,
                rate_slack=0.0,
                cold_factor=0.0,
                cold_slack=0.0,
            )
        )
    )
    assert not retries.try_retry(1, now)
    limiter = node.limiters.limiter("o")
    assert sum(limiter.admit(now + 100.0) for _ in range(100)) == 5
    assert sends_to_a_cold_upstream([node], now) == 0
