"""The rest of a large body, which is received while it is sent to an upstream."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from rattanlug.errors import error, executed, kind

# What the HTTP library and this daemon hold of such a body at any time.
WINDOW_BYTES = 128 * 1024

Receive = Callable[[], Awaitable[dict]]


class BodyStream:
    """Receives the rest of a body piece by piece, once.

    Parameters
    ----------
    receive : callable
        Returns the next ASGI message of the request.
    length : int or None
        Bytes of the whole body; None if the caller doesn't state it.
    received : int
        Bytes of the body that were received before.
    max_bytes : int
        Largest accepted body.
    """

    def __init__(
        self, receive: Receive, length: int | None, received: int, max_bytes: int
    ) -> None:
        self._receive = receive
        self._length = length
        self._received = received
        self._max_bytes = max_bytes
        self._has_begun = False
        self._is_complete = False
        self._has_left = False

    @property
    def length(self) -> int | None:
        """Bytes of the whole body; None if the caller doesn't state it."""
        return self._length

    @property
    def has_begun(self) -> bool:
        """Whether a piece was taken, so that the body can't be sent again."""
        return self._has_begun

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was received."""
        return self._is_complete

    @property
    def has_ended(self) -> bool:
        """Whether the whole body, or the end of its connection, was received."""
        return self._is_complete or self._has_left

    async def content(
        self, begin: bytes, deadline: Callable[[], float]
    ) -> AsyncIterator[bytes]:
        """Yield the whole body.

        Parameters
        ----------
        begin : bytes
            What was received before.
        deadline : callable
            Returns the seconds that are left for the request.

        Raises
        ------
        error.RefusedError
            The caller disconnected, didn't send the body in time, or sent too much.
        """
        if begin:
            yield begin
        while not self._is_complete:
            piece = await self._next(deadline())
            if piece:
                yield piece

    async def _next(self, seconds: float) -> bytes:
        self._has_begun = True
        with trio.move_on_after(max(0.0, seconds)) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            raise _abandoned(
                kind.ErrorKind.DEADLINE_EXCEEDED, "the body did not arrive in time"
            )
        if message["type"] == "http.disconnect":
            self._has_left = True
            raise _abandoned(
                kind.ErrorKind.CALLER_LEFT, "the caller left before the end of the body"
            )
        piece = message.get("body", b"")
        self._received += len(piece)
        if self._received > self._max_bytes:
            raise _abandoned(
                kind.ErrorKind.REQUEST_TOO_LARGE,
                f"the body is larger than {self._max_bytes} bytes",
            )
        self._is_complete = not message.get("more_body", False)
        return piece


def _abandoned(error_kind: kind.ErrorKind, detail: str) -> error.RefusedError:
    # The upstream may have begun to work on what it has received.
    return error.RefusedError(error_kind, detail, executed.Executed.UNKNOWN)
