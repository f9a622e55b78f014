"""Stream of the connection of one caller."""

import socket
from collections.abc import Callable

import trio

from rattanlug.caller import listener, request_head
from rattanlug.daemon import clock
from rattanlug.metrics import counters

# Limits how long a caller that does not read its response keeps it in memory.
SEND_SECONDS = 20.0
_READ_BYTES = 65536
_HTTP_2_PREFACE = b"PRI * HTTP/2"
_STATUS_LINE = b"HTTP/1.1 "
_HEAD_END = b"\r\n\r\n"
_CLOSE = b"\r\nconnection: close"
_INFORMATIONAL = b"HTTP/1.1 1"
_ERROR_STATUS_LINES = (b"HTTP/1.1 4", b"HTTP/1.1 5")
# Every error response of the application has one of these headers. Those of the HTTP
# library, which rejects malformed requests itself, have none.
_APPLICATION_HEADERS = (b"\r\nrattanlug-ran:", b"\r\ncontent-type:")

# Key of the stream in the ASGI scope. The stream reports a disconnect by a callback,
# which saves a task that waits for the library's ``http.disconnect`` message.
SCOPE_KEY = "rattanlug.caller_stream"

# Takes the request head and the earliest time at which the request can have arrived,
# seconds. Returns the encoded response, or None if an upstream is needed.
LocalReply = Callable[[request_head.RequestHead, float], bytes | None]


class CallerStream:
    """Stream of one caller with a time limit for sending.

    Parameters
    ----------
    accepted : listener.AcceptedConnection
    all_counters : counters.Counters
    local_reply : callable or None
        Returns the encoded response to a request that needs no upstream, or None.
    earliest_ready_at : callable
        Returns the earliest time at which a socket that is readable now can have
        become readable, seconds.
    """

    def __init__(
        self,
        accepted: listener.AcceptedConnection,
        all_counters: counters.Counters,
        local_reply: LocalReply | None,
        earliest_ready_at: Callable[[], float],
    ) -> None:
        self._stream = stream = accepted.stream
        self._raw = accepted.raw
        self._earliest_ready_at = earliest_ready_at
        # Lower bound of the arrival time of the bytes that are received next.
        self._earliest_next_byte_at = accepted.earliest_opened_at
        # The same for the bytes that were received last, and for the current request.
        self._earliest_received_at = accepted.earliest_opened_at
        self._arrived_at = accepted.earliest_opened_at
        self._counters = all_counters
        self._local_reply = local_reply
        self._head = b""
        # Pipelined bytes, and the lower bound of the arrival time of the first.
        self._pending = b""
        self._earliest_pending_at = accepted.earliest_opened_at
        # Whether the next byte received begins a request.
        self._between_requests = True
        self._last_used = trio.current_time()
        self._has_disconnected = False
        self._on_disconnect: Callable[[], None] | None = None
        remote = stream.socket.getpeername()
        self._remote_address = (remote[0], remote[1])

    @property
    def remote_address(self) -> tuple[str, int]:
        """Address and port of the caller."""
        return self._remote_address

    @property
    def between_requests(self) -> bool:
        """Whether no request is being read or served."""
        return self._between_requests

    @property
    def socket(self) -> trio.socket.SocketType:
        """Socket of the connection."""
        return self._stream.socket

    @property
    def arrived_at(self) -> float:
        """Earliest time at which the current request can have arrived, seconds."""
        return self._arrived_at

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller closed the connection, even if the end is still unread."""
        if self._has_disconnected or self._pending:
            return self._has_disconnected
        try:
            return not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # Reset by the caller, or closed by the shutdown of the server.
            return True

    def on_disconnect(self, action: Callable[[], None] | None) -> None:
        """Set the disconnect callback; called at once if it has disconnected."""
        self._on_disconnect = action
        if self._has_disconnected and action is not None:
            action()

    def idle_seconds(self, now: float) -> float:
        """Return the time since bytes were last received or sent, seconds."""
        return now - self._last_used

    async def receive_request(self) -> bytes:
        """Receive the first bytes of a request; empty if the caller disconnected."""
        data = self._take_pending() or await self._receive(_READ_BYTES)
        self._begin_request()
        return data

    def find_local_reply(self, head: request_head.RequestHead) -> bytes | None:
        """Return the encoded response if the request needs no upstream, or None."""
        if self._local_reply is None:
            return None
        return self._local_reply(head, self._earliest_received_at)

    async def read_ahead(self) -> None:
        """Buffer pipelined requests until the caller disconnects.

        The end of the connection can only be read after the pipelined bytes.
        """
        try:
            while len(self._pending) < _READ_BYTES:
                data = await self._receive(_READ_BYTES)
                if not data:
                    break
                if not self._pending:
                    self._earliest_pending_at = self._earliest_received_at
                self._pending += data
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # _receive recorded it; the task of the connection gets the error with its
            # next call.
            self._counters.add("connections_broken")

    def push_back(self, data: bytes) -> None:
        """Put received bytes back in front of the pending ones."""
        self._pending = data + self._pending
        self._earliest_pending_at = self._earliest_received_at

    def _take_pending(self) -> bytes:
        data, self._pending = self._pending, b""
        if data:
            self._earliest_received_at = self._earliest_pending_at
        return data

    async def send_response(self, data: bytes) -> None:
        """Send an encoded response; the next byte received begins a request."""
        await self._send_with_timeout(data)
        self._between_requests = not self._pending

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive bytes; an HTTP/2 preface is treated as the end of the stream."""
        # Without this checkpoint, a caller that sends continuously blocks the loop.
        await trio.lowlevel.checkpoint()
        data = self._take_pending()
        if not data:
            data = await self._receive_request(max_bytes)
        if data.startswith(_HTTP_2_PREFACE):
            self._counters.add("requests_rejected", reason="http_2")
            return b""
        return data

    async def _receive_request(self, max_bytes: int) -> bytes:
        data = await self._receive(max_bytes)
        while self._between_requests:
            head = request_head.parse_complete(data)
            local_reply = None if head is None else self.find_local_reply(head)
            if local_reply is None:
                break
            self._begin_request()
            await self._send_with_timeout(local_reply)
            self._between_requests = True
            data = await self._receive(max_bytes)
        if self._between_requests:
            self._begin_request()
        return data

    def _begin_request(self) -> None:
        # A shutdown closes the connections that are between requests; from now on it
        # waits for the response on this one.
        self._between_requests = False
        self._arrived_at = self._earliest_received_at

    async def send_all(self, data: bytes) -> None:
        """Send bytes; abort the connection if the caller does not read them."""
        is_error = not self._head and data.startswith(_ERROR_STATUS_LINES)
        if is_error and not any(header in data for header in _APPLICATION_HEADERS):
            self._counters.add("requests_rejected", reason="malformed")
        is_head = not self._head and data.startswith(_STATUS_LINE)
        if is_head and not data.startswith(_INFORMATIONAL):
            # The library sends head, body and an empty end separately; one write for
            # head and body saves a system call and a packet.
            self._head = data
            return
        data, self._head = self._head + data, b""
        if not data:
            return
        await self._send_with_timeout(data)
        self._between_requests = _CLOSE not in data[: data.find(_HEAD_END)].lower()

    async def _receive(self, max_bytes: int) -> bytes:
        try:
            data = await self._receive_raw(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._record_disconnect()
            raise
        self._last_used = trio.current_time()
        if not data:
            self._record_disconnect()
        return data

    async def _receive_raw(self, max_bytes: int) -> bytes:
        self._earliest_received_at = self._earliest_next_byte_at
        while True:
            try:
                return self._raw.recv(max_bytes)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._raw)
                self._earliest_received_at = self._earliest_ready_at()
            except OSError as exc:
                raise trio.BrokenResourceError("the connection broke") from exc

    def _record_disconnect(self) -> None:
        self._has_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    async def _send_with_timeout(self, data: bytes) -> None:
        self._last_used = trio.current_time()
        # Callers send the next request after they have received the response.
        self._earliest_next_byte_at = clock.now()
        with trio.move_on_after(SEND_SECONDS):
            await self._stream.send_all(data)
            return
        self._counters.add("answers_not_read")
        self.abort()
        raise trio.BrokenResourceError("the caller does not read its response")

    async def send_eof(self) -> None:
        """Half-close the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def abort(self) -> None:
        """Close the connection at once; pending calls on it fail."""
        self._stream.socket.close()
