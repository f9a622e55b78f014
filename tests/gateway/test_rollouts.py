"""Tests of rollouts with several gateway daemons."""

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
