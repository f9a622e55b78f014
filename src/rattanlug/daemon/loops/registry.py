"""Registry of periodic work."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanlug.daemon import node as daemon_node

Round = Callable[[daemon_node.Node, trio.Nursery], Awaitable[None]]


class Loop(NamedTuple):
    """One loop.

    Attributes
    ----------
    name : str
    interval : float
        Seconds between the starts of two rounds.
    run_round : callable
        Coroutine function of node and nursery for one round.
    """

    name: str
    interval: float
    run_round: Round


LOOPS: list[Loop] = []


def register(name: str, interval: float) -> Callable[[Round], Round]:
    """Register a coroutine function that does one round."""

    def decorate(run_round: Round) -> Round:
        LOOPS.append(Loop(name, interval, run_round))
        return run_round

    return decorate


async def run_loop(node: daemon_node.Node, loop: Loop) -> None:
    """Run a loop until cancelled.

    The start of each loop is spread over its interval, so that VMs that start
    together do not act in step.
    """
    await trio.sleep(node.rng.random() * loop.interval)
    async with trio.open_nursery() as nursery:
        while True:
            start = trio.current_time()
            await loop.run_round(node, nursery)
            elapsed = trio.current_time() - start
            await trio.sleep(max(0.0, loop.interval - elapsed))
