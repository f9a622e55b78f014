"""Tests of requests that wait for slots of different services."""

import random

import trio

from rattanlug.daemon import slot_access
from rattanlug.model import configuration, upstream
from rattanlug.routing import slot_ledger


def test_queues_of_two_services_do_not_share_numbers():
    # The first request of each queue has number 1. A dictionary that was keyed by the
    # number alone lost one of the two.
    items = {
        name: upstream.Upstream(name, name, "v", "a1", "127.0.0.1", 9000, 1, 9)
        for name in ("s", "t")
    }
    ledger = slot_ledger.SlotLedger("vm:1")
    ledger.set_owned({"s": [0], "t": [0]}, 0.0, 0.0)

    async def main():
        access = slot_access.SlotAccess(
            ledger, trio.current_time, random.Random(1), lambda now: None
        )
        access.configure(configuration.Configuration(upstreams=items), 0.0)
        served = []

        async def borrow(service, version, deadline):
            return None

        async def ask(service):
            near = (items[service],)
            hold = await access.acquire(
                service, "v", near, "o", 1.0, trio.current_time() + 5, borrow
            )
            served.append(hold.upstream)
            return hold

        holds = [await ask("s"), await ask("t")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "s")
            nursery.start_soon(ask, "t")
            await trio.sleep(0.01)
            for hold in holds:
                access.release(hold, answered=True)
                access.assign_slots_of(hold.upstream)
        assert sorted(served) == ["s", "s", "t", "t"]
        assert not access._waiting

    trio.run(main)
