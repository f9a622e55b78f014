"""The body of a response while it is received."""

from rattanlug.upstream import memory_budget


class ReceivedBody:
    """Collects a body within the memory budget; a context that ends with nothing held.

    Memory is released and freed together, so that whatever still refers to the
    collected body, such as the frames of an error, holds none of it.

    Parameters
    ----------
    memory : memory_budget.MemoryBudget
    """

    def __init__(self, memory: memory_budget.MemoryBudget) -> None:
        self._memory = memory
        self._data = bytearray()
        self._reserved = 0

    @property
    def size(self) -> int:
        """Number of bytes received so far."""
        return len(self._data)

    def __enter__(self) -> "ReceivedBody":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._data = bytearray()
        self._memory.release(self._reserved)
        self._reserved = 0

    def add(self, data: bytes) -> bool:
        """Keep received bytes if there is memory for them; return whether there is."""
        self._reserved += len(data)
        if not self._memory.reserve(len(data), self._reserved):
            return False
        self._data += data
        return True

    def content(self) -> bytes:
        """Return a copy of the body."""
        return bytes(self._data)
