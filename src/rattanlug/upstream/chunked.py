"""Merges the chunks of a body, which may be as small as one byte.

The HTTP library handles each chunk as an event of its own. For a body in tiny chunks,
that takes far more time and memory than its bytes would as a whole.
"""

import enum
import re

import httpcore

# A line with the size of a chunk is at most about this long, extensions included.
MAX_SIZE_LINE_BYTES = 250
# Limit for the trailers after a body.
MAX_TRAILER_BYTES = 4096
# A body may have this many chunks of any size, and one more for each
# `BYTES_PER_FURTHER_CHUNK` bytes, so that its cost is bounded by its bytes.
MAX_SMALL_CHUNKS = 16 * 1024
BYTES_PER_FURTHER_CHUNK = 16
# Chunks above this mean size cost little more than their bytes.
_LARGE_CHUNK_BYTES = 1024
_LINE_END = b"\r\n"
# The longest blanks and extension make a line of `MAX_SIZE_LINE_BYTES`.
_EXTENSION = rb"[ \t]{0,8}(?:;[^\r\n\x00]{0,219})?"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})" + _EXTENSION + rb"\r\n")
_SIZE_LINE_START = re.compile(rb"(?:[0-9A-Fa-f]{1,20}" + _EXTENSION + rb"\r?)?\Z")


class _Part(enum.Enum):
    """Part of a chunked body that comes next."""

    SIZE = enum.auto()
    CONTENT = enum.auto()
    LINE_END = enum.auto()
    END = enum.auto()
    TRAILERS = enum.auto()
    NOTHING = enum.auto()


class ChunkMerger:
    """Merges the chunks that are received together into one.

    Parameters
    ----------
    max_bytes : int
        Size of the largest chunk that is accepted.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._next = _Part.SIZE
        # Received bytes of a line that is not complete.
        self._pending = b""
        # Bytes of the current chunk that are still to come.
        self._missing = 0
        self._has_extra_bytes = False
        self._chunks = 0
        self._body_bytes = 0
        self._trailer_bytes = 0

    @property
    def has_large_chunks(self) -> bool:
        """Whether the chunks so far are large on average, and there are any."""
        return self._body_bytes > _LARGE_CHUNK_BYTES * self._chunks

    @property
    def has_clean_end(self) -> bool:
        """Whether the body was received in full, without trailers or further bytes."""
        return self._next is _Part.NOTHING and not self._has_extra_bytes

    def feed(self, data: bytes) -> bytes:
        """Return the received part of the body as one chunk, and the body's end.

        Raises
        ------
        httpcore.RemoteProtocolError
        """
        data, self._pending = self._pending + data, b""
        contents: list[bytes] = []
        position = self._take_chunks(data, contents)
        content = b"".join(contents)
        self._check_cost(len(content))
        merged = b"%x\r\n%b\r\n" % (len(content), content) if content else b""
        return merged + self._take_end(data[position:])

    def _take_chunks(self, data: bytes, contents: list[bytes]) -> int:
        """Append the contents of chunks; return the position after the last one."""
        position, end = 0, len(data)
        while position < end:
            if self._next is _Part.SIZE:
                position = self._take_whole_chunks(data, position, contents)
                if position == end:
                    break
                line = _SIZE_LINE.match(data, position)
                if line is None:
                    self._keep_size_line(data[position:])
                    return end
                position = line.end()
                self._begin_chunk(int(line[1], 16))
            elif self._next is _Part.CONTENT:
                content = data[position : position + self._missing]
                contents.append(content)
                position += len(content)
                self._missing -= len(content)
                if not self._missing:
                    self._next = _Part.LINE_END
            elif self._next is _Part.LINE_END:
                if not data.startswith(_LINE_END, position):
                    self._keep_line_end(data[position:])
                    return end
                position += len(_LINE_END)
                self._next = _Part.SIZE
            else:
                break
        return position

    def _take_whole_chunks(
        self, data: bytes, position: int, contents: list[bytes]
    ) -> int:
        """Append the contents of whole chunks; return the position after them.

        For a body in tiny chunks, this loop takes nearly all of the time.
        """
        first = len(contents)
        while line := _SIZE_LINE.match(data, position):
            size = int(line[1], 16)
            begin = line.end()
            stop = begin + size
            if not 0 < size <= self._max_bytes or data[stop : stop + 2] != _LINE_END:
                break
            contents.append(data[begin:stop])
            position = stop + 2
        self._chunks += len(contents) - first
        return position

    def _begin_chunk(self, size: int) -> None:
        if size > self._max_bytes:
            raise httpcore.RemoteProtocolError("a chunk is larger than the limit")
        self._chunks += 1
        self._missing = size
        self._next = _Part.CONTENT if size else _Part.END

    def _keep_size_line(self, start: bytes) -> None:
        if not _SIZE_LINE_START.match(start):
            raise httpcore.RemoteProtocolError("the size of a chunk is malformed")
        self._pending = start

    def _keep_line_end(self, start: bytes) -> None:
        if not _LINE_END.startswith(start):
            raise httpcore.RemoteProtocolError("a chunk has no end")
        self._pending = start

    def _check_cost(self, size: int) -> None:
        self._body_bytes += size
        further = self._body_bytes // BYTES_PER_FURTHER_CHUNK
        if self._chunks > MAX_SMALL_CHUNKS + further:
            raise httpcore.RemoteProtocolError("the body has too many small chunks")

    def _take_end(self, data: bytes) -> bytes:
        """Return the end of the body as far as it is known."""
        if self._next is _Part.TRAILERS:
            return self._take_trailers(data)
        if self._next is _Part.NOTHING:
            self._has_extra_bytes = self._has_extra_bytes or bool(data)
            return b""
        if self._next is not _Part.END:
            return b""
        if data.startswith(_LINE_END):
            self._next = _Part.NOTHING
            self._has_extra_bytes = len(data) > len(_LINE_END)
            return b"0\r\n\r\n"
        if _LINE_END.startswith(data):
            self._pending = data
            return b""
        self._next = _Part.TRAILERS
        return b"0\r\n" + self._take_trailers(data)

    def _take_trailers(self, data: bytes) -> bytes:
        self._trailer_bytes += len(data)
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise httpcore.RemoteProtocolError("the trailers are too large")
        return data
