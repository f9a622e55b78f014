"""Tests of the listening socket of callers."""

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


def test_all_connections_that_wait_are_accepted_in_one_turn():
    """Guards against a queue that grows while each turn takes one connection."""

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

        # A connection that comes when the queue is empty can't have waited before.
        async with trio.open_nursery() as nursery:

            async def come():
                earliest_ready_at[0] = 9.0
                callers.append(socket.create_connection((HOST, port)))

            nursery.start_soon(come)
            accepted = await tested.accept()
        assert accepted.earliest_opened_at == 9.0
        await trio.aclose_forcefully(accepted.stream)
        callers[-1].close()
        tested.close()

    trio.run(main)


def test_a_connection_that_was_reset_in_the_queue_harms_no_other():
    async def main():
        tested = listener.Listener(
            address.Address(HOST, 0), lambda: 0.0, counters.Counters()
        )
        port = tested.socket.getsockname()[1]
        gone = socket.create_connection((HOST, port))
        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        gone.close()
        stays = socket.create_connection((HOST, port))
        with trio.fail_after(2):
            accepted = [await tested.accept()]
            while peer(accepted[-1]) != stays.getsockname():
                accepted.append(await tested.accept())
        for each in accepted:
            await trio.aclose_forcefully(each.stream)
        stays.close()
        tested.close()

    trio.run(main)
