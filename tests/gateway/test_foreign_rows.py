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


# Guards against daemons that end, or keep choosing an upstream that cannot be called,
# because a number, port or text of another writer's row is out of range.
@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:80800"},
        {"address": "127.0.0.1:²"},
        {"address": f"127.0.0.1:{'9' * 5000}"},
        {"address": "upstream.example\0:80"},
        {"address": "fe80::1%a\0b:80"},
        {"capacity": 10**400},
        {"sequence": 10**400},
        {"zone": "\ud800"},
    ],
    ids=lambda changes: str(changes)[:40],
)
@caller.in_trio
async def test_a_registration_out_of_range_is_not_used(changes):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        vms = [await deployment.add_vm() for _ in range(2)]
        row = {
            "info": {
                "service": fleet.SERVICE,
                "version": "v1",
                "capacity": changes.get("capacity", 5),
                "zone": changes.get("zone", "north-a"),
            },
            "status": {"state": "ready", "sequence": changes.get("sequence", 1)},
            "address": changes.get("address", "127.0.0.1:9"),
        }
        deployment.store.put("servers", "a-other", row)
        await deployment.settle()
        for number in range(20):
            _, response = await caller.send(
                vms[number % 2], "/claim/x", "POST", b"b",
                Cookie=f"Rattanlug-Affinity-Key={number}",
            )  # fmt: skip
            assert response.status == 200


# Guards against a VM row whose host is no address: sending to it raises an error.
@pytest.mark.parametrize(
    "row",
    [
        {"host": "\ud800", "data_centre": "north-a"},
        {"host": "a\0b", "data_centre": "north-a"},
        {"host": "fe80::1%é", "data_centre": "north-a"},
        {"host": "fe80::1%a\0b", "data_centre": "north-b"},
        {"host": "vm.example", "data_centre": "north-b"},
        [],
        {"host": "127.0.1.9"},
    ],
    ids=str,
)
@caller.in_trio
async def test_a_vm_row_without_an_address_is_ignored(row):
    async with fleet.open_fleet() as deployment:
        await deployment.add_upstream("u1")
        deployment.store.put("rattanlug-vms", "other", row)
        vm = await deployment.add_vm()
        await trio.sleep(1.5)
        assert vm.node.counters.value("vm_rows_unreadable") == 1
        _, response = await caller.send(vm, "/view/x")
        assert response.status == 200
