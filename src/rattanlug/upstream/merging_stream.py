"""Network stream that merges the small chunks of responses."""

from typing import Any

import httpcore

from rattanlug.upstream import chunked, response_head

# Larger parts of heads and chunked bodies would take too much time at once.
_SMALL_PART_BYTES = 16 * 1024
_HEAD_END = b"\r\n\r\n"
_HEAD_METHOD = b"HEAD "
# Without a name, no header counts as the identifier of the response.
_NO_IDENTIFIER = b""


class MergingStream(httpcore.AsyncNetworkStream):
    """Passes chunks that are received together on as one.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkStream
    max_chunk_bytes : int
        Size of the largest chunk that is accepted.
    """

    def __init__(
        self, inner: httpcore.AsyncNetworkStream, max_chunk_bytes: int
    ) -> None:
        self._inner = inner
        self._max_chunk_bytes = max_chunk_bytes
        self._head = bytearray()
        self._in_head = True
        self._has_body = True
        self._has_read = True
        self._merger: chunked.ChunkMerger | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes; empty at the end of the connection.

        Raises
        ------
        httpcore.RemoteProtocolError
            The head or a chunk of the response is not valid.
        """
        self._has_read = True
        while True:
            data = await self._inner.read(self._part_bytes(max_bytes), timeout)
            if not data:
                return data
            passed_on = self._pass_on(data)
            if passed_on:
                return passed_on

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request; the first ones after a read begin a request."""
        if self._has_read:
            self._has_read = False
            self._has_body = not buffer.startswith(_HEAD_METHOD)
            self._head.clear()
            self._in_head = True
            self._merger = None
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return the inner stream's value."""
        return self._inner.get_extra_info(info)

    def _part_bytes(self, max_bytes: int) -> int:
        """Return how many bytes to read at most."""
        has_small_chunks = (
            self._merger is not None and not self._merger.has_large_chunks
        )
        if self._in_head or has_small_chunks:
            return min(max_bytes, _SMALL_PART_BYTES)
        return max_bytes

    def _pass_on(self, data: bytes) -> bytes:
        if not self._in_head:
            return self._pass_on_body(data)
        begin = len(self._head)
        self._head += data
        end = self._find_body()
        if end is None:
            return data
        # The bytes of the head before these ones were passed on when they came.
        position = end - begin
        return data[:position] + self._pass_on_body(data[position:])

    def _find_body(self) -> int | None:
        """Return where the body begins in the received bytes, or None."""
        start = 0
        while (found := self._head.find(_HEAD_END, start)) >= 0:
            end = found + len(_HEAD_END)
            head = response_head.parse(bytes(self._head[start:end]), _NO_IDENTIFIER)
            start = end
            if head.is_interim:
                continue
            self._in_head = False
            if head.is_chunked and self._has_body:
                self._merger = chunked.ChunkMerger(self._max_chunk_bytes)
            self._head.clear()
            return end
        response_head.check_line_ends(self._head)
        del self._head[:start]
        return None

    def _pass_on_body(self, data: bytes) -> bytes:
        return data if self._merger is None else self._merger.feed(data)
