"""Network stream that counts the bytes of the current response."""

from collections.abc import Iterable
from typing import Any

import httpcore
import trio

from rattanlug.upstream import merging_stream, response_head

# A chunk that is larger is not accepted.
MAX_CHUNK_BYTES = 8 << 20
_HEAD_END = b"\r\n\r\n"
_REQUEST_ID = b"request-id"


class CountingStream(httpcore.AsyncNetworkStream):
    """Counts the bytes that follow the head of a response.

    The pool keeps bytes beyond the end of a response and would take them for the next
    response, so they have to be detected before a connection is reused.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkStream
    opened : float
        Time at which the connection was opened, seconds on the clock of trio.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream, opened: float) -> None:
        self._inner = inner
        self._opened = opened
        self._head = bytearray()
        self._in_head = True
        self._body_bytes = 0
        self._closed = False

    @property
    def body_bytes(self) -> int:
        """Number of bytes received after the head of the response."""
        return self._body_bytes

    def age(self, now: float) -> float:
        """Return the seconds since the connection was opened."""
        return now - self._opened

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read and count bytes.

        Raises
        ------
        httpcore.RemoteProtocolError
            The head of the response is not valid.
        """
        data = await self._inner.read(max_bytes, timeout)
        if self._in_head:
            self._head += data
            self._find_body()
        else:
            self._body_bytes += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request; the next bytes read begin a response."""
        self._head.clear()
        self._in_head = True
        self._body_bytes = 0
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        self._closed = True
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return the inner stream's value; a closed stream counts as readable."""
        if self._closed and info == "is_readable":
            return True
        return self._inner.get_extra_info(info)

    def _find_body(self) -> None:
        while (end := self._head.find(_HEAD_END)) >= 0:
            head = bytes(self._head[: end + len(_HEAD_END)])
            del self._head[: len(head)]
            if not response_head.parse(head, _REQUEST_ID).is_interim:
                self._in_head = False
                self._body_bytes = len(self._head)
                self._head.clear()
                return
        response_head.check_line_ends(self._head)


class CountingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections with a ``CountingStream``."""

    def __init__(self) -> None:
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        merging = merging_stream.MergingStream(stream, MAX_CHUNK_BYTES)
        return CountingStream(merging, trio.current_time())
