"""Tests of what the followers of a VM can make it hold."""

import socket

import trio

from rattanlug.peer import framing
from rattanlug.platform import names
from rattanlug.tables import follow_codec, follow_messages
from tests.gateway import caller
from trial.shared_platform import fleet

MEMORY_MB = 64
# Of 600 rows, which make a frame of some 0.6 MB.
_ROW = {"unknown": "x" * 1000}
_ROWS = 600


async def follow(vm):
    """Ask for a whole table on a connection that can hold little of the answer."""
    settings = vm.node.settings
    opened = trio.socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await opened.connect((settings.host, settings.peer_ports[0]))
    request = follow_messages.FollowRequest({names.UPSTREAM_TABLE: -1}, 0.0, {})
    await opened.send(framing.frame(follow_codec.encode_request(request)))
    return opened


# Guards against followers that don't read, for instance of another program, and whose
# answers together exceed the memory of the VM that they follow.
@caller.in_trio
async def test_answers_to_followers_count_as_memory_until_they_are_sent():
    async with fleet.open_fleet() as deployment:
        for number in range(_ROWS):
            deployment.store.put("servers", f"odd-{number}", _ROW)
        vm = await deployment.add_vm(limits={"memory_mb": MEMORY_MB, "max_fds": 1024})
        with trio.fail_after(5):
            while len(vm.node.tables.copy(names.UPSTREAM_TABLE).rows) < _ROWS:
                await trio.sleep(0.01)
        before = sum_answers(vm)
        opened = [await follow(vm) for _ in range(60)]
        await trio.sleep(1.0)
        # An eighth of the memory, and the answer that doesn't fit.
        assert 0 < vm.node.memory.reserved <= (MEMORY_MB / 8 + 1) * 1_000_000
        assert sum_answers(vm) - before < 20
        for each in opened:
            each.close()
        with trio.fail_after(3.0):
            while vm.node.memory.reserved:
                await trio.sleep(0.01)


def sum_answers(vm):
    return sum(
        value for name, _, value in vm.node.counters.items() if name == "table_answers"
    )
