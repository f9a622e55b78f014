"""Tests that unexpected errors of background tasks do not end the daemon."""

import pytest
import trio
import trio.testing

from rattanlug.caller import listener
from rattanlug.daemon import background_tasks
from rattanlug.gateway import (
    digest_exchange,
    loop_lag,
    node,
    store_reader,
    table_server,
)
from rattanlug.metrics import counters
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
@pytest.mark.usefixtures("no_overload")
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


async def fail_when_cancelled():
    try:
        await trio.sleep_forever()
    finally:
        raise RuntimeError("failed while it was cancelled")


async def run_two_parts():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail_when_cancelled)
        nursery.start_soon(trio.sleep_forever)


# Guards against a stop that ends with an error, and a platform that sees a process end
# by itself, because a part of a background task failed while it was cancelled.
@pytest.mark.parametrize("task", [fail_when_cancelled, run_two_parts])
def test_an_error_during_the_cancellation_does_not_spread(task):
    all_counters = counters.Counters()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(background_tasks.keep_running, "t", task, all_counters)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert all_counters.value("task_failures", task="t") == 1


# Guards against an error in each part of a background task that ends the daemon.
def test_a_task_whose_parts_fail_starts_again():
    all_counters = counters.Counters()
    runs = []

    async def run():
        runs.append(trio.current_time())
        if len(runs) < 3:
            raise ExceptionGroup("parts", [RuntimeError("a"), ValueError("b")])

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    trio.run(background_tasks.keep_running, "t", run, all_counters, clock=clock)
    assert len(runs) == 3
    assert all_counters.value("task_failures", task="t") == 2
