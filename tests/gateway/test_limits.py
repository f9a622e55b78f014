"""Limits of the desired state on the connections of callers."""

import contextlib

import pytest
import trio

from rattanlug.caller import server
from tests.gateway import caller
from trial.shared_platform import fleet

_APPLY_SECONDS = 0.2


@pytest.fixture(autouse=True)
def frequent_sweeps(monkeypatch):
    monkeypatch.setattr(server, "SWEEP_SECONDS", 0.02)


@contextlib.asynccontextmanager
async def open_vm(**limits):
    async with fleet.open_fleet() as deployment:
        deployment.store.put("op", "config", fleet.desired_state(3, limits=limits))
        await deployment.add_upstream("u1")
        vm = await deployment.add_vm(bounds={"config_apply_s": _APPLY_SECONDS})
        local = vm.node.settings.callers
        yield deployment, await trio.open_tcp_stream(local.host, local.port)


async def answer(stream, data):
    """Send a request; return the status line of its response, empty for an end."""
    await stream.send_all(data)
    return (await read_some(stream)).partition(b"\r\n")[0]


async def read_some(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        return await stream.receive_some()
    return b""


# Guards against closing connections that their callers may still use.
@caller.in_trio
async def test_a_connection_stays_open_for_the_idle_time_in_force(monkeypatch):
    monkeypatch.setattr(server, "KEEP_ALIVE_SECONDS", 0.3)
    async with open_vm(idle_timeout_s=15) as (_, stream):
        for number in range(2):
            data = caller.encode("/view/x", f"idle-{number}")
            assert b" 200 " in await answer(stream, data)
            await trio.sleep(0.6)


# Guards against limits that apply only to connections opened after a change.
@caller.in_trio
async def test_a_new_idle_time_applies_to_open_connections():
    async with open_vm(idle_timeout_s=15) as (deployment, stream):
        assert b" 200 " in await answer(stream, caller.encode("/view/x", "before"))
        changed = fleet.desired_state(4, limits={"idle_timeout_s": 0.1})
        deployment.store.put("op", "config", changed)
        with trio.fail_after(2.0):
            assert await read_some(stream) == b""


# Guards against a caller that keeps a connection by sending a head byte by byte.
@caller.in_trio
async def test_a_head_that_takes_too_long_ends_the_connection():
    async with open_vm(header_timeout_s=0.1, idle_timeout_s=15) as (_, stream):
        with trio.fail_after(3.0), pytest.raises(trio.BrokenResourceError):
            for byte in caller.encode("/view/x", "slow") * 10:
                await stream.send_all(bytes([byte]))
                await trio.sleep(0.03)


# Guards against a rejection of heads within the limit in force.
@pytest.mark.parametrize(("limit", "status"), [(32768, b"200"), (8192, b"413")])
@pytest.mark.parametrize("pieces", [1, 2])
@caller.in_trio
async def test_the_size_of_heads_follows_the_limit_in_force(limit, status, pieces):
    async with open_vm(max_header_bytes=limit) as (_, stream):
        header = b"X: %s\r\n\r\n" % (b"a" * 20000)
        data = caller.encode("/view/x", "large")[:-2] + header
        if pieces == 2:
            await stream.send_all(data[:100])
            await trio.sleep(0.05)
            data = data[100:]
        assert (await answer(stream, data)).split()[1] == status
