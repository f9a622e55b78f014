"""A network stream that shows only the answer to the present request."""

from collections.abc import Callable

import httpcore

from rattanlug.upstream import upstream_socket

_HEAD_END = b"\r\n\r\n"
_INFORMATIONAL = b"1"
# Status line ``HTTP/1.1 200``: the status begins here.
_STATUS_AT = 9
# Every answer begins with it.
_START = b"HTTP/1."
# Heads of one request's answers together, those of interim answers included.
MAX_HEAD_BYTES = 64 * 1024
# Answers to earlier requests that are dropped before the present one.
MAX_DROPPED_BYTES = 4 << 20
# Larger bodies are not kept; their connections are used once if they are chunked.
KEPT_BODY_BYTES = 64 * 1024


class AnswerStream(httpcore.AsyncNetworkStream):
    """Drops answers to earlier requests and counts the bytes of the present one.

    Some upstreams answer a request a second time, late, where the answer to the next
    request is expected. The identifier that each answer repeats tells them apart.
    An upstream in trouble may send bytes without end, so what comes before the body of
    the answer is bounded.

    Parameters
    ----------
    inner : upstream_socket.UpstreamSocket
    identifier_header : bytes
        Header that each answer repeats, in lower case.
    """

    def __init__(
        self, inner: upstream_socket.UpstreamSocket, identifier_header: bytes
    ) -> None:
        self._inner = inner
        self._header = identifier_header
        self._expected = b""
        self._head = bytearray()
        self._in_head = True
        self._to_drop = 0
        # Bytes of heads, and of answers to other requests, since the request was sent.
        self._head_bytes = 0
        self._dropped_bytes = 0
        self._body_bytes = 0
        self._body = bytearray()
        self._dropped = 0
        self._received = 0
        self._check_send: Callable[[], None] | None = None

    @property
    def body_bytes(self) -> int:
        """Bytes received since the end of the answer's head."""
        return self._body_bytes

    @property
    def body(self) -> bytes:
        """First bytes received since the end of the answer's head."""
        return bytes(self._body)

    @property
    def received(self) -> int:
        """Bytes received for the present request."""
        return self._received

    @property
    def dropped(self) -> int:
        """Answers to earlier requests that were dropped."""
        return self._dropped

    def expect(
        self, identifier: bytes, deadline: float, check_send: Callable[[], None]
    ) -> None:
        """Begin a request; only its answer is shown from now on.

        Parameters
        ----------
        identifier : bytes
        deadline : float
            Until when the answer is awaited, seconds.
        check_send : callable
            Called right before the first byte leaves; it may raise to send nothing.
        """
        self._inner.begin(deadline)
        self._expected = identifier
        self._check_send = check_send
        self._head.clear()
        self._in_head = True
        self._to_drop = 0
        self._head_bytes = self._dropped_bytes = 0
        self._body_bytes = 0
        self._body.clear()
        self._received = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes of the present answer; empty at the end of the connection.

        Raises
        ------
        httpcore.RemoteProtocolError
            What came is no answer, or there is too much before it.
        """
        while True:
            data = await self._inner.read(max_bytes)
            self._received += len(data)
            if not data:
                rest = bytes(self._head)
                self._head.clear()
                return rest
            shown = self._show(data)
            if shown:
                return shown

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request."""
        check_send, self._check_send = self._check_send, None
        if check_send is not None:
            check_send()
        await self._inner.write(buffer)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return whether bytes wait, for ``is_readable``; None for the rest."""
        return self._inner.is_readable if info == "is_readable" else None

    def _show(self, data: bytes) -> bytes:
        if not self._in_head:
            self._note_body(data)
            return data
        self._head += data
        shown = b""
        while self._in_head:
            self._drop_others()
            end = self._head.find(_HEAD_END)
            if self._to_drop or end < 0:
                self._check_start(len(self._head))
                return shown
            head = bytes(self._head[: end + len(_HEAD_END)])
            self._check_start(len(head))
            self._head_bytes += len(head)
            del self._head[: len(head)]
            length = self._length_of_other(head)
            if length is not None:
                self._to_drop = length
                self._dropped += 1
                continue
            shown += head
            self._in_head = head[_STATUS_AT : _STATUS_AT + 1] == _INFORMATIONAL
        rest = bytes(self._head)
        self._head.clear()
        self._note_body(rest)
        return shown + rest

    def _drop_others(self) -> None:
        count = min(self._to_drop, len(self._head))
        del self._head[:count]
        self._to_drop -= count
        self._dropped_bytes += count
        if self._dropped_bytes + self._to_drop > MAX_DROPPED_BYTES:
            raise httpcore.RemoteProtocolError("too much of answers to other requests")

    def _check_start(self, size: int) -> None:
        """Check the first bytes of a head that has some size so far."""
        if not _START.startswith(self._head[: len(_START)]):
            raise httpcore.RemoteProtocolError("the bytes are no HTTP answer")
        if self._head_bytes + size > MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError("the heads of the answers are too large")

    def _note_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= KEPT_BODY_BYTES:
            self._body += data

    def _length_of_other(self, head: bytes) -> int | None:
        """Return the body length of an answer to another request, else None."""
        identifier, length = None, None
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.strip().lower() == self._header:
                identifier = value.strip()
            elif name.strip().lower() == b"content-length":
                length = value.strip()
        if identifier is None or identifier == self._expected:
            return None
        return int(length) if length is not None and length.isdigit() else None
