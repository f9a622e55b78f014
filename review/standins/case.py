"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from standins import record

_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, for instance because no daemon became ready."""


def has_trouble() -> bool:
    """Tell whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(directory: str, play: Callable[[record.Record], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    Parameters
    ----------
    directory : str
        Folder of the case, for ``record.txt``.
    play : callable
        Coroutine function that returns whether the rule held.
    """
    log = record.Record(pathlib.Path(directory) / "record.txt")
    try:
        code = asyncio.run(_play(play, log))
    except BaseException:
        traceback.print_exc()
        code = NOT_RUN
    log.write("end", code=code)
    log.close()
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)


async def _play(
    play: Callable[[record.Record], Awaitable[bool]], log: record.Record
) -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_LIMIT_S):
        return HELD if await play(log) else BROKEN
