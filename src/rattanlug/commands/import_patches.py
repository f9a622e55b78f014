"""Prevents libraries from starting programs when they are imported."""

import ctypes.util


def disable_find_library() -> None:
    """Replace ``ctypes.util.find_library`` by a function that finds nothing.

    The original runs ``ldconfig``, and a compiler if that fails. trio calls it when it
    is imported, to be able to name threads, and works without a result. Must be called
    before the first import of trio.
    """
    ctypes.util.find_library = lambda name: None
