"""Standard streams of a process that was started without them."""

import os
import select
import sys

_INPUT, _OUTPUT, _ERROR = range(3)
# A pipe that is ready takes as much without blocking.
_MAX_BYTES = select.PIPE_BUF


def open_missing() -> None:
    """Connect the standard streams that are closed to the null device.

    Otherwise, the next files and sockets get their descriptors, and what is written to
    the streams goes there. Must be called before anything else is opened.

    Raises
    ------
    OSError
        When a stream is closed and the null device can't be opened.
    """
    for descriptor in (_INPUT, _OUTPUT, _ERROR):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    if sys.stdout is None:
        sys.stdout = open(_OUTPUT, "w", encoding="utf-8", closefd=False)
    if sys.stderr is None:
        sys.stderr = open(_ERROR, "w", encoding="utf-8", closefd=False)


def write_error(text: str) -> None:
    """Write a line to standard error, cut to `select.PIPE_BUF`, if nothing blocks.

    Nothing is written to a pipe that is full or whose reader is gone.
    """
    ready = select.poll()
    ready.register(_ERROR, select.POLLOUT)
    if ready.poll(0) != [(_ERROR, select.POLLOUT)]:
        return
    os.write(_ERROR, text.encode()[: _MAX_BYTES - 1] + b"\n")
