"""Tests that unexpected errors of background tasks do not end the daemon."""

import pytest
import trio

from rattanlug.caller import listener
from rattanlug.gateway import (
    digest_exchange,
    loop_lag,
    node,
    store_reader,
    table_server,
)
from rattanlug.upstream import connection_pools
from tests.gateway import caller
from trial.shared_platform import fleet

# Where each background task of the daemon can fail: a module or class, and the name of
# a function that the task calls.
PLACES = [
    (store_reader.StoreReader, "_record_store_failure"),
    (store_reader.StoreReader, "_follow_request"),
    (node.Node, "set_follow_rollouts"),
    (loop_lag.LoopLag, "record"),
    (connection_pools.ConnectionPools, "close_unusable"),
    (digest_exchange.DigestExchange, "_targets"),
    (digest_exchange.DigestExchange, "_try_to_register"),
    (digest_exchange.DigestExchange, "_handle_datagram"),
    (table_server.follow_codec, "decode_request"),
    (listener.Listener, "_accept_or_wait"),
]


def fail_once(monkeypatch, owner, name):
    """Replace a function by one whose first call raises; return its failed calls."""
    original, failed = getattr(owner, name), []

    def call(*args, **kwargs):
        if not failed:
            failed.append(name)
            raise RuntimeError(f"{name} failed")
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return failed


# Guards against an unexpected error in one background task that ends the process, and
# with it the requests of all callers.
@pytest.mark.parametrize(("owner", "name"), PLACES, ids=[name for _, name in PLACES])
@caller.in_trio
async def test_an_error_in_a_background_task_ends_no_request(monkeypatch, owner, name):
    async with fleet.open_fleet() as deployed:
        await deployed.add_upstream("u-1")
        first = await deployed.add_vm()
        failed = fail_once(monkeypatch, owner, name)
        second = await deployed.add_vm(seeds=[first.node.settings.host])
        deployed.store.status = 503 if name == "_record_store_failure" else None
        with trio.fail_after(10):
            while not failed or not any(
                key == "task_failures"
                for vm in (first, second)
                for key, _, _ in vm.node.counters.items()
            ):
                await trio.sleep(0.02)
        deployed.store.status = None
        for vm in (first, second):
            _, answer = await caller.send(vm, "/open/1", key=None)
            assert answer.status == 200
