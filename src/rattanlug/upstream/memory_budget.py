"""Bounds what the bodies of unfinished answers hold in memory together."""

# Part of the VM's memory for bodies that are still being received; a body is copied
# twice on its way to the caller.
SHARE = 0.125
# A body up to this size is received even when the others take all of the share, since
# a few large ones must not fail the usual small ones.
SMALL_BYTES = 256 * 1024


class MemoryBudget:
    """Counts the bytes of all bodies that are being received.

    Parameters
    ----------
    memory_bytes : int
        Memory of the VM.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._limit = int(SHARE * memory_bytes)
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes of unfinished bodies."""
        return self._held

    def take(self, size: int, of_body: int) -> bool:
        """Count more bytes of a body; return whether they may be kept.

        Parameters
        ----------
        size : int
            Bytes that were received now.
        of_body : int
            Bytes of the body so far, with these.
        """
        self._held += size
        return of_body <= SMALL_BYTES or self._held <= self._limit

    def give_back(self, size: int) -> None:
        """Note that a body is finished or given up."""
        self._held -= size
