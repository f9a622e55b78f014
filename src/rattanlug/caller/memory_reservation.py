"""Memory that is reserved for a request and its response."""

from rattanlug.errors import error, kind
from rattanlug.upstream import memory_budget


class MemoryReservation:
    """Counts what is held of a request; a context that releases it at its end.

    Parameters
    ----------
    budget : memory_budget.MemoryBudget or None
        None for no limit.
    """

    def __init__(self, budget: memory_budget.MemoryBudget | None) -> None:
        self._budget = budget
        self._size = 0

    @property
    def size(self) -> int:
        """Number of reserved bytes."""
        return self._size

    def __enter__(self) -> "MemoryReservation":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    def release(self) -> None:
        """Release what was reserved so far."""
        if self._budget is not None:
            self._budget.release(self._size)
        self._size = 0

    def hold(self, size: int) -> None:
        """Count bytes that are held in any case, such as a response to be sent."""
        if self._budget is not None:
            self._budget.reserve(size, size)
            self._size += size

    def add(self, size: int, body_bytes: int) -> None:
        """Reserve memory for a request before it is used.

        Parameters
        ----------
        size : int
            Number of bytes to hold in addition.
        body_bytes : int
            Known size of the body, including these bytes.

        Raises
        ------
        error.RefusedError
            The memory for the bodies of all requests and responses is used up.
        """
        if self._budget is None:
            return
        if not self._budget.reserve(size, body_bytes, of_request=True):
            self._budget.release(size)
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                "the memory of this VM for requests is used up",
            )
        self._size += size
