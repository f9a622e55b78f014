"""Tests of the state of one gateway daemon."""

import tomllib

import pytest

from rattanlug.daemon import clock
from rattanlug.fleet import digest
from rattanlug.gateway import node as node_module
from rattanlug.gateway import run
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
