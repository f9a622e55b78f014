"""Tests of what is logged about the other VMs."""

import logging
import tomllib

from rattanlug.daemon import clock
from rattanlug.fleet import data_centre_digest, digest
from rattanlug.gateway import node as node_module
from rattanlug.gateway import peers
from rattanlug.platform import boot_settings
from trial.shared_platform import boot_file


def report(vm, data_centre, sequence=1):
    return digest.Digest(
        vm, 1, sequence, data_centre, f"host-{vm}", 1, False, 1, {}, (), ()
    )


def test_vms_that_come_and_go_are_logged_wherever_they_are(caplog):
    text = boot_file.render("vm-1", "127.0.1.1", 9000, 9500)
    node = node_module.Node(boot_settings.decode(tomllib.loads(text)))
    own = peers.Peers(node)
    caplog.set_level(logging.INFO, "rattanlug.state")

    def changes(now):
        caplog.clear()
        own.note_membership(now)
        return [
            (each.change["peer"], each.change["old"], each.change["new"])
            for each in caplog.records
        ]

    now = clock.now()
    node.peers.record_digest(report("vm-2", "north-a"), now)
    # Known from the report of its data centre only.
    far = data_centre_digest.aggregate(report("vm-9", "south-a"), [], [])
    node.peers.record_digest(far, now)
    assert changes(now) == [("vm-2", None, "alive"), ("vm-9", None, "alive")]
    assert changes(now + 1.0) == []
    node.peers.record_digest(report("vm-2", "north-a", 2), now + 2.0)
    assert changes(now + 4.0) == [("vm-9", "alive", "silent")]
    node.peers.record_digest(far._replace(sequence=2), now + 5.0)
    assert changes(now + 5.0) == [("vm-9", None, "alive")]
