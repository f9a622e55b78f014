"""Finds objects, such as handled errors, that stay in memory in reference cycles."""

import contextlib
import gc
import types

_ERRORS = (BaseException, types.TracebackType)


@contextlib.contextmanager
def found(searched=_ERRORS):
    """Yield a list; at the end, objects in reference cycles are put into it.

    Errors that are still referred to, such as that of a task that waits for its socket
    in the handler of a `BlockingIOError`, don't count.

    Parameters
    ----------
    searched : tuple of type
        Types of the objects; errors and tracebacks by default.
    """
    gc.collect()
    gc.disable()
    objects = []
    try:
        yield objects
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        objects.extend(each for each in gc.garbage if isinstance(each, searched))
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
