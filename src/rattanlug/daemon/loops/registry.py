"""Registry of periodic work."""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanlug.daemon import node as daemon_node

_LOG = logging.getLogger(__name__)

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
            try:
                await loop.run_round(node, nursery)
            except Exception:
                # A fault in periodic work must not end requests that are served.
                node.counters.add("loop_failures", loop=loop.name)
                _LOG.exception("a round of loop %s failed", loop.name)
            elapsed = trio.current_time() - start
            await trio.sleep(max(0.0, loop.interval - elapsed))
