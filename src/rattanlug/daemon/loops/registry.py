"""Registry of the periodic loops."""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanlug.daemon import node as daemon_node

_LOG = logging.getLogger(__name__)

Round = Callable[[daemon_node.Node, "Spawner"], Awaitable[None]]


class Loop(NamedTuple):
    """A registered loop.

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


class Spawner:
    """Starts the tasks of a loop; a fault in one of them does not end the others.

    Parameters
    ----------
    node : daemon_node.Node
    name : str
        Name of the loop, for the counter.
    nursery : trio.Nursery
    """

    def __init__(
        self, node: daemon_node.Node, name: str, nursery: trio.Nursery
    ) -> None:
        self._node = node
        self._name = name
        self._nursery = nursery

    def start_soon(self, function: Callable[..., Awaitable[None]], *args) -> None:
        """Start ``function(*args)`` as a task."""
        self._nursery.start_soon(self.run, function, *args)

    async def run(self, function: Callable[..., Awaitable[None]], *args) -> None:
        """Await ``function(*args)`` and count a fault in it."""
        try:
            await function(*args)
        except Exception:
            # A fault in a loop must not end the daemon and the requests that it serves.
            self._node.counters.add("loop_failures", loop=self._name)
            _LOG.exception("a round of loop %s failed", self._name)


async def run_loop(node: daemon_node.Node, loop: Loop) -> None:
    """Run a loop until cancelled.

    The first round starts after a random part of the interval, so that VMs that start
    together do not run their loops in lockstep.
    """
    await trio.sleep(node.rng.random() * loop.interval)
    async with trio.open_nursery() as nursery:
        spawner = Spawner(node, loop.name, nursery)
        while True:
            start = trio.current_time()
            await spawner.run(loop.run_round, node, spawner)
            elapsed = trio.current_time() - start
            await trio.sleep(max(0.0, loop.interval - elapsed))
