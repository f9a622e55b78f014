"""Network stream that passes on only the response to the current request."""

from collections.abc import Awaitable, Callable

import httpcore
import trio

from rattanlug.daemon import socket_close
from rattanlug.upstream import chunked, response_head, upstream_socket

_HEAD_END = b"\r\n\r\n"
# Every HTTP/1 response begins with these bytes.
_STATUS_LINE_START = b"HTTP/1."
# Limit for the heads of the responses to one request, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Limit for the interim responses to one request.
MAX_INTERIM_RESPONSES = 100
# Limit for responses to earlier requests that are dropped before the current one.
MAX_DROPPED_BYTES = 4 << 20
# Largest body that is accepted.
MAX_BODY_BYTES = 64 << 20
# Heads and small chunks, which cost more time for each byte, are read in parts of this
# size.
_SMALL_PART_BYTES = 16 * 1024
# What a small response takes. Parts that are larger, or that follow, are handled in
# turns with other work.
_UNPACED_BYTES = 4 * 1024

# Waits until a part of a large response may be handled; meanwhile, it calls a function
# that raises when the request has no time left.
TakeTurn = Callable[[Callable[[], None]], Awaitable[None]]


async def take_turn_at_once(check_deadline: Callable[[], None]) -> None:
    """Let every part be handled in the next iteration of the event loop."""
    await trio.lowlevel.checkpoint()


class ResponseStream(httpcore.AsyncNetworkStream):
    """Drops responses to earlier requests and counts the bytes of the current one.

    Some upstreams send a late duplicate of a response, or other bytes that look like a
    response, where the response to the next request is expected. The request identifier
    in each response tells them apart. The first response on a connection may lack it,
    as nothing can precede that response.
    A broken upstream may send bytes without end, so everything before the body of the
    response is limited.

    Parameters
    ----------
    inner : upstream_socket.UpstreamSocket
    identifier_header : bytes
        Header that each response copies from its request, in lower case.
    take_turn : callable, optional
        Waits until a part of a large response may be handled.
    max_chunk_bytes : int
        Size of the largest chunk that is accepted.
    """

    def __init__(
        self,
        inner: upstream_socket.UpstreamSocket,
        identifier_header: bytes,
        take_turn: TakeTurn = take_turn_at_once,
        max_chunk_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._inner = inner
        self._max_chunk_bytes = max_chunk_bytes
        self._take_turn = take_turn
        self._identifier_header = identifier_header
        self._expected = b""
        self._requests = 0
        self._head = bytearray()
        self._in_head = True
        self._bytes_to_drop = 0
        # Bytes of heads and of responses to other requests since the request was sent.
        self._head_bytes = 0
        self._interim_responses = 0
        self._dropped_bytes = 0
        self._body_bytes = 0
        self._has_body = True
        self._merger: chunked.ChunkMerger | None = None
        self._dropped = 0
        self._received = 0
        self._check_send: Callable[[], None] | None = None

    @property
    def body_bytes(self) -> int:
        """Number of bytes received after the head of the response."""
        return self._body_bytes

    @property
    def chunks(self) -> chunked.ChunkMerger | None:
        """The chunks of the response; None if its body is not chunked."""
        return self._merger

    @property
    def received(self) -> int:
        """Number of bytes received for the current request."""
        return self._received

    @property
    def dropped(self) -> int:
        """Number of dropped responses to earlier requests."""
        return self._dropped

    def begin_request(
        self,
        identifier: bytes,
        deadline: float,
        check_send: Callable[[], None],
        later_deadline: upstream_socket.LaterDeadline | None = None,
        has_body: bool = True,
    ) -> None:
        """Begin a request; from now on only its response is passed on.

        Parameters
        ----------
        identifier : bytes
        deadline : float
            Latest time for the complete response, seconds on the clock of the socket.
        check_send : callable
            Called right before the first byte is sent; it may raise to send nothing.
        later_deadline : callable, optional
            Returns the deadline as of now, which may be later than the first one.
        has_body : bool
            Whether the response may have a body, as that to a HEAD has not.
        """
        self._inner.set_deadline(deadline, later_deadline)
        self._expected = identifier
        self._requests += 1
        self._check_send = check_send
        self._head.clear()
        self._in_head = True
        self._bytes_to_drop = 0
        self._head_bytes = self._dropped_bytes = self._interim_responses = 0
        self._body_bytes = 0
        self._has_body = has_body
        self._merger = None
        self._received = 0

    def end_request(self) -> None:
        """End the current request; nothing is kept of it while the stream is idle."""
        self._inner.set_deadline(0.0)
        self._check_send = None
        self._merger = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes of the current response; empty at the end of the connection.

        Raises
        ------
        httpcore.RemoteProtocolError
            The received bytes are not an HTTP response, or too many of them precede
            the response to the current request.
        """
        while True:
            data = await self._inner.read(self._part_bytes(max_bytes))
            self._received += len(data)
            if self._received > _UNPACED_BYTES:
                # Not before reading, after which other tasks run first.
                await self._take_turn(self._inner.check_deadline)
            if not data:
                if self._head:
                    raise httpcore.RemoteProtocolError(
                        "the connection ended inside the head of a response"
                    )
                return data
            passed_on = self._filter(data)
            if passed_on:
                return passed_on

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request."""
        check_send, self._check_send = self._check_send, None
        if check_send is not None:
            check_send()
        await self._inner.write(buffer)

    async def aclose(self) -> None:
        """Close the connection."""
        await socket_close.aclose(self._inner)

    def get_extra_info(self, info: str) -> object:
        """Return for ``is_readable`` whether bytes are waiting, else None."""
        return self._inner.is_readable if info == "is_readable" else None

    def _part_bytes(self, max_bytes: int) -> int:
        """Return how many bytes to read at most."""
        has_small_chunks = (
            self._merger is not None and not self._merger.has_large_chunks
        )
        if self._in_head or has_small_chunks:
            return min(max_bytes, _SMALL_PART_BYTES)
        return max_bytes

    def _filter(self, data: bytes) -> bytes:
        if not self._in_head:
            return self._filter_body(data)
        self._head += data
        passed_on = b""
        while self._in_head:
            self._drop_other_responses()
            end = self._head.find(_HEAD_END)
            if self._bytes_to_drop or end < 0:
                self._check_head(len(self._head))
                response_head.check_line_ends(self._head)
                return passed_on
            head = bytes(self._head[: end + len(_HEAD_END)])
            self._check_head(len(head))
            self._head_bytes += len(head)
            del self._head[: len(head)]
            parsed = response_head.parse(head, self._identifier_header)
            length = self._other_body_length(parsed)
            if length is not None:
                self._bytes_to_drop = length
                self._dropped += 1
                continue
            passed_on += head
            self._in_head = parsed.is_interim
            self._count_interim_response(parsed)
            if parsed.is_chunked and self._has_body:
                self._merger = chunked.ChunkMerger(self._max_chunk_bytes)
        rest = bytes(self._head)
        self._head.clear()
        return passed_on + self._filter_body(rest)

    def _drop_other_responses(self) -> None:
        count = min(self._bytes_to_drop, len(self._head))
        del self._head[:count]
        self._bytes_to_drop -= count
        self._dropped_bytes += count
        if self._dropped_bytes + self._bytes_to_drop > MAX_DROPPED_BYTES:
            raise httpcore.RemoteProtocolError(
                "responses to other requests are too large"
            )

    def _check_head(self, size: int) -> None:
        """Check the first bytes of a head and its size so far."""
        if not _STATUS_LINE_START.startswith(self._head[: len(_STATUS_LINE_START)]):
            raise httpcore.RemoteProtocolError(
                "the received bytes are not an HTTP response"
            )
        if self._head_bytes + size > MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError(
                "the heads of the responses are too large"
            )

    def _count_interim_response(self, head: response_head.ResponseHead) -> None:
        self._interim_responses += head.is_interim
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise httpcore.RemoteProtocolError("there are too many interim responses")

    def _filter_body(self, data: bytes) -> bytes:
        self._body_bytes += len(data)
        return data if self._merger is None else self._merger.feed(data)

    def _other_body_length(self, head: response_head.ResponseHead) -> int | None:
        """Return the body length of a response to another request, else None.

        A response with the identifier of another request and without
        ``Content-Length`` also gives None and is passed on; ``PooledConnection``
        rejects it by its identifier.

        Raises
        ------
        httpcore.RemoteProtocolError
            The response has neither an identifier nor a length.
        """
        if head.identifier is None:
            if self._requests == 1 or not self._expected or head.is_interim:
                return None
            if head.body_length is None:
                raise httpcore.RemoteProtocolError(
                    "a response has no request identifier"
                )
        elif head.identifier == self._expected:
            return None
        return head.body_length
