"""Tests of the registration and of the logged membership changes."""

import contextlib
import logging
import tomllib

import trio

from rattanlug.daemon import clock
from rattanlug.fleet import data_centre_digest, digest
from rattanlug.gateway import digest_exchange
from rattanlug.gateway import node as node_module
from rattanlug.platform import boot_settings, store_client, store_error
from tests.gateway import caller
from trial.shared_platform import boot_file, fleet, loopback


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


# Guards against a VM that is missing in the store, and so in the limits that VMs share,
# since the store performs the removal by its earlier process late.
@caller.in_trio
async def test_a_late_removal_leaves_the_registration_of_the_next_process(monkeypatch):
    commit, late = store_client.StoreClient.commit, []

    async def delay_removals(self, writes):
        if writes[0].value is None:
            late.extend(writes)
            raise store_error.StoreError("no response", maybe_applied=True)
        return await commit(self, writes)

    monkeypatch.setattr(store_client.StoreClient, "commit", delay_removals)
    async with fleet.open_fleet() as deployment:
        text = boot_file.render("vm-9", loopback.host(9), 9000, deployment.store_port)
        for _ in range(2):
            node = node_module.Node(boot_settings.decode(tomllib.loads(text)))
            exchange = digest_exchange.DigestExchange(node)
            written = deployment.store.version
            async with trio.open_nursery() as nursery:
                await nursery.start(exchange.run, await exchange.open())
                while deployment.store.version == written:
                    await trio.sleep(0.01)
                # The exchange gets the response too.
                await trio.sleep(0.2)
                await exchange.leave()
                nursery.cancel_scope.cancel()
        earlier, own = late
        with contextlib.suppress(store_error.ConditionFailedError):
            await commit(node.store, [earlier])
        assert deployment.store.value(digest_exchange.TABLE, "vm-9") is not None
        await commit(node.store, [own])
        assert deployment.store.value(digest_exchange.TABLE, "vm-9") is None
