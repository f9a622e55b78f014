"""Limit on the memory for the bodies of all requests and responses."""

# Share of the VM's memory for bodies that are being received. It is small because a
# body is copied twice on its way to the caller.
MEMORY_SHARE = 0.125
# A body up to this size is received even if the budget is used up, so that a few large
# bodies don't make the usual small ones fail.
SMALL_BODY_BYTES = 256 * 1024
# Share of the VM's memory beyond which small bodies of requests fail too. It is below
# that of responses, whose requests have been executed already.
MAX_REQUEST_SHARE = 0.1875
# Share of the VM's memory beyond which small bodies of responses fail: upstreams that
# send without end make many bodies that are still small at the same time.
MAX_MEMORY_SHARE = 0.25


class MemoryBudget:
    """Counts the bytes that are held of all bodies.

    Parameters
    ----------
    memory_bytes : int
        Memory of the VM.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._limit = int(MEMORY_SHARE * memory_bytes)
        self._request_limit = int(MAX_REQUEST_SHARE * memory_bytes)
        self._max_limit = int(MAX_MEMORY_SHARE * memory_bytes)
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Number of bytes of unfinished bodies."""
        return self._reserved

    @property
    def largest_body(self) -> int:
        """Size of the largest body that may be kept while nothing else is."""
        return max(self._limit, min(SMALL_BODY_BYTES, self._max_limit))

    def reserve(self, size: int, body_bytes: int, of_request: bool = False) -> bool:
        """Count received bytes of a body; return whether they may be kept.

        The bytes count until ``release`` even if they may not be kept.

        Parameters
        ----------
        size : int
            Number of bytes just received.
        body_bytes : int
            Number of bytes of the body so far, including these.
        of_request : bool
            Whether it is the body of a request, not of a response.
        """
        self._reserved += size
        if body_bytes > SMALL_BODY_BYTES:
            return self._reserved <= self._limit
        limit = self._request_limit if of_request else self._max_limit
        return self._reserved <= limit

    def release(self, size: int) -> None:
        """Release the bytes of a body that is finished or abandoned."""
        self._reserved -= size
