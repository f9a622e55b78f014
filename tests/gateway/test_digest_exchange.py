"""Tests of the logged membership changes."""

import logging
import tomllib

from rattanlug.daemon import clock
from rattanlug.fleet import data_centre_digest, digest
from rattanlug.gateway import digest_exchange
from rattanlug.gateway import node as node_module
from rattanlug.platform import boot_settings
from trial.shared_platform import boot_file


def make_digest(vm, data_centre, sequence=1):
    return digest.Digest(
        vm, 1, sequence, data_centre, "10.0.0.1", 1, False, 1, {}, (), ()
    )


def test_membership_changes_in_all_data_centres_are_logged(caplog):
    text = boot_file.render("vm-1", "127.0.1.1", 9000, 9500)
    node = node_module.Node(boot_settings.decode(tomllib.loads(text)))
    exchange = digest_exchange.DigestExchange(node)
    caplog.set_level(logging.INFO, "rattanlug.state")

    def changes(now):
        caplog.clear()
        exchange.log_membership_changes(now)
        return [
            (each.change["peer"], each.change["old"], each.change["new"])
            for each in caplog.records
        ]

    now = clock.now()
    node.peers.record_digest(make_digest("vm-2", "north-a"), now)
    # Known only from the digest of its data centre.
    remote = data_centre_digest.aggregate(make_digest("vm-9", "south-a"), [], [])
    node.peers.record_digest(remote, now)
    assert changes(now) == [("vm-2", None, "alive"), ("vm-9", None, "alive")]
    assert changes(now + 1.0) == []
    node.peers.record_digest(make_digest("vm-2", "north-a", 2), now + 2.0)
    assert changes(now + 4.0) == [("vm-9", "alive", "silent")]
    node.peers.record_digest(remote._replace(sequence=2), now + 5.0)
    assert changes(now + 5.0) == [("vm-9", None, "alive")]
