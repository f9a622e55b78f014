"""Memory that is reserved for the body of one request."""

from rattanlug.errors import error, kind
from rattanlug.upstream import memory_budget


class BodyReservation:
    """Counts what is held of one body; a context that releases it at its end.

    Parameters
    ----------
    budget : memory_budget.MemoryBudget or None
        None for no limit.
    """

    def __init__(self, budget: memory_budget.MemoryBudget | None) -> None:
        self._budget = budget
        self._size = 0

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._budget is not None:
            self._budget.release(self._size)

    def hold(self, size: int) -> None:
        """Count bytes that are held in any case, such as a response to be sent."""
        if self._budget is not None:
            self._budget.reserve(size, size)
            self._size += size

    def add(self, size: int, body_bytes: int) -> None:
        """Reserve memory before it is used.

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
        if not self._budget.reserve(size, body_bytes):
            self._budget.release(size)
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                "the memory of this VM for bodies is used up",
            )
        self._size += size
