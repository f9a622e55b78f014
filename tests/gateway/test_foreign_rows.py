"""Rows that another writer left in the store, read by running daemons."""

import pytest
import trio

from tests.gateway import caller
from trial.shared_platform import fleet

NESTED = b"[" * 2000 + b"]" * 2000


# Guards against daemons that end, again after each start, because a row of another
# writer raises an error that its decoder does not expect.
@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("servers", "i-other"),
        ("op", "config"),
        ("op", f"rollout/{fleet.SERVICE}"),
        ("rattanlug-vms", "other"),
        ("rattanlug-moves", fleet.SERVICE),
    ],
)
@caller.in_trio
async def test_a_deeply_nested_row_ends_no_daemon(table, key):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        running = await deployment.add_vm()
        await deployment.settle()
        deployment.store.put(table, key, NESTED)
        await trio.sleep(0.5)
        vms = [running]
        if key != "config":
            # This daemon finds the row at its start.
            vms.append(await deployment.add_vm())
        await deployment.settle()
        for vm in vms:
            _, response = await caller.send(vm, "/view/x")
            assert response.status == 200
