"""Tests of rollouts with several gateway daemons."""

import pytest
import trio

from rattanlug.gateway import rollouts
from tests.gateway import caller
from trial.shared_platform import fleet

DURATION = 7.0


async def send_requests(deployment, vms, seconds):
    """Send requests to all VMs; return the new version's responses and the total."""
    new, total, end = 0, 0, trio.current_time() + seconds
    while trio.current_time() < end:
        for vm in vms:
            _, response = await caller.send(
                vm, "/view/x", Cookie=f"Rattanlug-Affinity-Key={total % 30}"
            )
            total += 1
            new += response.body.startswith((b"new", b"n")) and response.status == 200
            await trio.sleep(0.004)
    return new, total


async def start(deployment):
    for name in ("old-1", "old-2"):
        await deployment.add_upstream(name)
    vms = [await deployment.add_vm() for _ in range(2)]
    await deployment.settle()
    for name in ("new-1", "new-2"):
        await deployment.add_upstream(name, version="v2")
    deployment.store.put(
        "op",
        f"rollout/{fleet.SERVICE}",
        {"service": fleet.SERVICE, "target": "v2", "duration_s": DURATION},
    )
    return vms


def status(deployment):
    return deployment.store.value("status", f"rollout/{fleet.SERVICE}")


@caller.in_trio
async def test_a_good_version_is_rolled_out_in_time():
    async with fleet.open_fleet() as deployment:
        vms = await start(deployment)
        new, total = await send_requests(deployment, vms, 2.0)
        assert status(deployment)["state"] == "running"
        assert new <= 0.2 * total
        await send_requests(deployment, vms, DURATION - 2.0)
        assert status(deployment) == {
            "service": fleet.SERVICE,
            "target": "v2",
            "state": "complete",
        }
        new, total = await send_requests(deployment, vms, 0.3)
        assert new == total


@caller.in_trio
async def test_a_bad_version_is_rolled_back_on_all_vms():
    async with fleet.open_fleet() as deployment:
        vms = await start(deployment)
        for name in ("new-1", "new-2"):
            deployment.upstreams[name].status = 500
        await send_requests(deployment, vms, 4.0)
        assert status(deployment)["state"] == "rolled_back"
        before = sum(
            len(each.executions)
            for name, each in deployment.upstreams.items()
            if name.startswith("new")
        )
        await send_requests(deployment, vms, 1.0)
        after = sum(
            len(each.executions)
            for name, each in deployment.upstreams.items()
            if name.startswith("new")
        )
        assert after == before


# Guards against an order that raises an error in each round and holds up the others: a
# bad version of another service would stay in force.
@caller.in_trio
async def test_an_order_that_fails_does_not_hold_up_the_others(monkeypatch):
    advance = rollouts._advance

    async def fail_for_one(node, order, seen_for):
        if order.service == "a":
            raise RuntimeError("the order failed")
        await advance(node, order, seen_for)

    monkeypatch.setattr(rollouts, "_advance", fail_for_one)
    async with fleet.open_fleet() as deployment:
        order = {"service": "a", "target": "v2", "duration_s": DURATION}
        deployment.store.put("op", "rollout/a", order)
        await start(deployment)
        with trio.fail_after(5.0):
            while status(deployment) is None:
                await trio.sleep(0.05)


async def go_back(deployment, copy):
    """Let the store come back from a copy; return what is to be written again."""
    deployment.store.go_away()
    await trio.sleep(0.5)
    return deployment.store.come_back(copy)


async def wait_for_state(deployment, state, seconds):
    with trio.move_on_after(seconds):
        while (status(deployment) or {}).get("state") != state:
            await trio.sleep(0.05)
    assert status(deployment)["state"] == state


# Guards against a move that starts again after its end, and an end that is reported to
# no operator any more.
@pytest.mark.usefixtures("no_overload")
@pytest.mark.parametrize("from_start", [False, True])
@caller.in_trio
async def test_a_complete_move_stays_so_when_the_store_comes_back(from_start):
    async with fleet.open_fleet() as deployment:
        copy = deployment.store.copy()
        vms = await start(deployment)
        if not from_start:
            await wait_for_state(deployment, "running", 2.0)
            copy = deployment.store.copy()
        await wait_for_state(deployment, "complete", DURATION + 1.0)
        lost = await go_back(deployment, copy)
        new, total = await send_requests(deployment, vms, 1.0)
        assert new == total
        deployment.store.write_again(lost)
        new, total = await send_requests(deployment, vms, 1.0)
        assert new == total
        await wait_for_state(deployment, "complete", 2.0)


@pytest.mark.usefixtures("no_overload")
@caller.in_trio
async def test_a_move_that_was_rolled_back_stays_so_when_the_store_comes_back():
    async with fleet.open_fleet() as deployment:
        copy = deployment.store.copy()
        vms = await start(deployment)
        for name in ("new-1", "new-2"):
            deployment.upstreams[name].status = 500
        await send_requests(deployment, vms, 4.0)
        assert status(deployment)["state"] == "rolled_back"
        before = sum(
            len(deployment.upstreams[each].executions) for each in ("new-1", "new-2")
        )
        lost = await go_back(deployment, copy)
        await send_requests(deployment, vms, 1.0)
        deployment.store.write_again(lost)
        await send_requests(deployment, vms, 1.0)
        await wait_for_state(deployment, "rolled_back", 2.0)
        after = sum(
            len(deployment.upstreams[each].executions) for each in ("new-1", "new-2")
        )
        assert after == before
