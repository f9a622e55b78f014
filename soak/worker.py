"""Plays callers or upstreams of a run in processes of their own."""

import gc
import inspect
import multiprocessing
import time
from collections.abc import Callable
from multiprocessing import connection
from typing import Any

import trio

_END_SECONDS = 2.0
# What a worker records stays until the end; the oldest generation is hardly collected,
# since that would stall the worker.
_GC_THRESHOLDS = (20_000, 20, 1_000)


class Worker:
    """A process whose methods the run calls.

    Parameters
    ----------
    create : callable
        Called in the process, with a nursery and ``arguments``; returns the object
        whose methods are called.
    *arguments : object
    """

    def __init__(self, create: Callable[..., Any], *arguments: Any) -> None:
        # A fork would inherit the event loop and the sockets of the run.
        context = multiprocessing.get_context("spawn")
        self._connection, other = context.Pipe()
        offset = trio.current_time() - time.perf_counter()
        self._process = context.Process(
            target=_run, args=(other, offset, create, arguments), daemon=True
        )
        self._process.start()
        other.close()
        self._lock = trio.Lock()

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def send(self, name: str, *arguments: Any) -> None:
        """Call a method and ignore what it returns."""
        self._connection.send((name, arguments, False))

    async def call(self, name: str, *arguments: Any) -> Any:
        """Call a method and return what it returns.

        Raises
        ------
        EOFError
            The process has ended.
        """
        async with self._lock:
            self._connection.send((name, arguments, True))
            return await trio.to_thread.run_sync(self._connection.recv)

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.join(_END_SECONDS)


class _Clock(trio.abc.Clock):
    """The clock of the run, so that times of all processes can be compared."""

    def __init__(self, offset: float) -> None:
        self._offset = offset

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        return self._offset + time.perf_counter()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return deadline - self.current_time()


def _run(
    pipe: connection.Connection, offset: float, create: Callable, arguments: tuple
) -> None:
    gc.set_threshold(*_GC_THRESHOLDS)
    trio.run(_serve, pipe, create, arguments, clock=_Clock(offset))


async def _serve(
    pipe: connection.Connection, create: Callable, arguments: tuple
) -> None:
    async with trio.open_nursery() as nursery:
        served = create(nursery, *arguments)
        while True:
            try:
                name, values, answered = await trio.to_thread.run_sync(
                    pipe.recv, abandon_on_cancel=True
                )
            except EOFError:
                # The run has ended.
                nursery.cancel_scope.cancel()
                return
            result = getattr(served, name)(*values)
            if inspect.isawaitable(result):
                result = await result
            if answered:
                pipe.send(result)
