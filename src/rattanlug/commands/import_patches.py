"""Keeps libraries from starting programs while they are imported."""

import ctypes.util


def disable_find_library() -> None:
    """Make searches for shared libraries find nothing.

    ``ctypes.util.find_library`` runs ``ldconfig``, and a compiler when that fails. trio
    calls it on import, only to name threads, and does without when it finds nothing.
    Must be called before the first import of trio.
    """
    ctypes.util.find_library = lambda name: None
