"""Finds errors that stay in memory, in reference cycles, after they were handled."""

import contextlib
import gc
import types


@contextlib.contextmanager
def found():
    """Yield a list; at the end, the errors and tracebacks in cycles are put into it.

    Errors that are still referred to, such as that of a task that waits for its socket
    in the handler of a `BlockingIOError`, don't count.
    """
    gc.collect()
    gc.disable()
    errors: list[BaseException | types.TracebackType] = []
    try:
        yield errors
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        errors.extend(
            each
            for each in gc.garbage
            if isinstance(each, (BaseException, types.TracebackType))
        )
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
