"""Tests of the listening socket for callers."""

import socket

import trio

from rattanlug.caller import listener
from rattanlug.metrics import counters
from rattanlug.settings import address

HOST = "127.0.0.1"


def peer(accepted):
    """Return the caller's address, or None if it reset the connection."""
    try:
        return accepted.raw.getpeername()
    except OSError:
        return None


def test_all_queued_connections_are_accepted_without_a_checkpoint():
    """The accept queue must not grow because a loop iteration accepts only one."""

    async def main():
        earliest_ready_at = [5.0]
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: earliest_ready_at[0], counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        callers = [socket.create_connection((HOST, port)) for _ in range(100)]
        other_turns = []

        async def count_turns():
            while True:
                other_turns.append(trio.current_time())
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            first = await tested.accept()
            nursery.start_soon(count_turns)
            rest = [await tested.accept() for _ in range(99)]
            assert not other_turns
            nursery.cancel_scope.cancel()
        assert {each.earliest_opened_at for each in [first, *rest]} == {5.0}
        for each in [first, *rest]:
            await trio.aclose_forcefully(each.stream)
        for each in callers:
            each.close()

        # A connection that arrives at an empty queue can't have waited before.
        async with trio.open_nursery() as nursery:

            async def connect_later():
                earliest_ready_at[0] = 9.0
                callers.append(socket.create_connection((HOST, port)))

            nursery.start_soon(connect_later)
            accepted = await tested.accept()
        assert accepted.earliest_opened_at == 9.0
        await trio.aclose_forcefully(accepted.stream)
        callers[-1].close()
        tested.close()

    trio.run(main)


def test_a_connection_reset_in_the_queue_does_not_affect_others():
    async def main():
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: 0.0, counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        reset = socket.create_connection((HOST, port))
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        reset.close()
        kept = socket.create_connection((HOST, port))
        with trio.fail_after(2):
            accepted = [await tested.accept()]
            while peer(accepted[-1]) != kept.getsockname():
                accepted.append(await tested.accept())
        for each in accepted:
            await trio.aclose_forcefully(each.stream)
        kept.close()
        tested.close()

    trio.run(main)
