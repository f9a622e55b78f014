"""The stream of one caller's connection."""

import socket
from collections.abc import Callable

import trio

from rattanlug.caller import listener, request_head
from rattanlug.daemon import clock
from rattanlug.metrics import counters

# A caller that does not read its answer holds the memory of it.
SEND_SECONDS = 20.0
_READ_BYTES = 65536
_HTTP_2_PREFACE = b"PRI * HTTP/2"
_HEAD = b"HTTP/1.1 "
_HEAD_END = b"\r\n\r\n"
_CLOSE = b"\r\nconnection: close"
_INFORMATIONAL = b"HTTP/1.1 1"
_REFUSALS = (b"HTTP/1.1 4", b"HTTP/1.1 5")
# Each refusal of the application holds one of these headers, the library's hold none.
_OWN_HEADERS = (b"\r\nrattanlug-ran:", b"\r\ncontent-type:")

# Under this key the stream stands in the ASGI scope. Being told by the stream that
# the caller left spares a task that waits for the library's message.
SCOPE_KEY = "rattanlug.caller_stream"

# Takes the head and the earliest time at which the request can have arrived, seconds.
LocalReply = Callable[[request_head.RequestHead, float], bytes | None]


class CallerStream:
    """Stream of one caller with a time limit for sending.

    Parameters
    ----------
    accepted : listener.Accepted
    all_counters : counters.Counters
    local_reply : callable or None
        Returns the whole answer to a request that needs no upstream, or None.
    earliest_ready_at : callable
        Earliest time at which what is ready now can have become ready, seconds.
    """

    def __init__(
        self,
        accepted: listener.Accepted,
        all_counters: counters.Counters,
        local_reply: LocalReply | None,
        earliest_ready_at: Callable[[], float],
    ) -> None:
        self._stream = stream = accepted.stream
        self._raw = accepted.raw
        self._earliest_ready_at = earliest_ready_at
        # Nothing of the next bytes can have arrived before.
        self._silent_until = accepted.earliest_opened_at
        # The same for the bytes that were received last, and for the present request.
        self._received_since = accepted.earliest_opened_at
        self._arrived_at = accepted.earliest_opened_at
        self._counters = all_counters
        self._local_reply = local_reply
        self._head = b""
        # Bytes that were received ahead, and the same time for the first of them.
        self._pending = b""
        self._pending_since = accepted.earliest_opened_at
        # Whether the next byte received begins a request.
        self._between_requests = True
        self._last_used = trio.current_time()
        self._has_disconnected = False
        self._on_disconnect: Callable[[], None] | None = None
        remote = stream.socket.getpeername()
        self._identity = (remote[0], remote[1])

    @property
    def identity(self) -> tuple[str, int]:
        """Address and port of the caller."""
        return self._identity

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
        """Earliest time at which the present request can have arrived, seconds."""
        return self._arrived_at

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller closed the connection, also if nobody read so far."""
        if self._has_disconnected or self._pending:
            return self._has_disconnected
        try:
            return not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # Reset by the caller, or closed by a stop.
            return True

    def on_disconnect(self, action: Callable[[], None] | None) -> None:
        """Set what is called when the caller leaves; at once if it has left."""
        self._on_disconnect = action
        if self._has_disconnected and action is not None:
            action()

    def idle_seconds(self, now: float) -> float:
        """Return for how long nothing was received or sent, seconds."""
        return now - self._last_used

    async def receive_request(self) -> bytes:
        """Receive the first bytes of a request; empty when the caller has left."""
        data = self._take_pending() or await self._receive(_READ_BYTES)
        self._begin_request()
        return data

    def find_local_reply(self, head: request_head.RequestHead) -> bytes | None:
        """Return the whole answer to a request that needs no upstream, or None."""
        if self._local_reply is None:
            return None
        return self._local_reply(head, self._received_since)

    async def read_ahead(self) -> None:
        """Receive what follows a request, and notice when the caller leaves.

        The end of the connection waits behind requests that were sent ahead.
        """
        try:
            while len(self._pending) < _READ_BYTES:
                data = await self._receive(_READ_BYTES)
                if not data:
                    break
                if not self._pending:
                    self._pending_since = self._received_since
                self._pending += data
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Noted by _receive; the connection's task meets it with its next call.
            self._counters.add("connections_broken")

    def push_back(self, data: bytes) -> None:
        """Let bytes that were received be received once more."""
        self._pending = data + self._pending
        self._pending_since = self._received_since

    def _take_pending(self) -> bytes:
        data, self._pending = self._pending, b""
        if data:
            self._received_since = self._pending_since
        return data

    async def send_answer(self, data: bytes) -> None:
        """Send a whole answer; the next byte received begins a request."""
        await self._send_bounded(data)
        self._between_requests = not self._pending

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive; an HTTP/2 preface counts as the end of the stream."""
        # A caller that sends without end must not keep the loop to itself.
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
            head = request_head.parse_whole(data)
            early = None if head is None else self.find_local_reply(head)
            if early is None:
                break
            self._begin_request()
            await self._send_bounded(early)
            self._between_requests = True
            data = await self._receive(max_bytes)
        if self._between_requests:
            self._begin_request()
        return data

    def _begin_request(self) -> None:
        # A stop closes connections between requests; this one has its answer first.
        self._between_requests = False
        self._arrived_at = self._received_since

    async def send_all(self, data: bytes) -> None:
        """Send, or break the connection when the caller does not read."""
        refused = not self._head and data.startswith(_REFUSALS)
        if refused and not any(header in data for header in _OWN_HEADERS):
            self._counters.add("requests_rejected", reason="malformed")
        is_head = not self._head and data.startswith(_HEAD)
        if is_head and not data.startswith(_INFORMATIONAL):
            # The library sends the head, the body and an empty end one by one; one
            # write for head and body spares a system call and a packet.
            self._head = data
            return
        data, self._head = self._head + data, b""
        if not data:
            return
        await self._send_bounded(data)
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
        self._received_since = self._silent_until
        while True:
            try:
                return self._raw.recv(max_bytes)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._raw)
                self._received_since = self._earliest_ready_at()
            except OSError as exc:
                raise trio.BrokenResourceError("the connection broke") from exc

    def _record_disconnect(self) -> None:
        self._has_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    async def _send_bounded(self, data: bytes) -> None:
        self._last_used = trio.current_time()
        # Callers send the next request after the answer.
        self._silent_until = clock.now()
        with trio.move_on_after(SEND_SECONDS):
            await self._stream.send_all(data)
            return
        self._counters.add("answers_not_read")
        self.abort()
        raise trio.BrokenResourceError("the caller does not read its answer")

    async def send_eof(self) -> None:
        """Half-close the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def abort(self) -> None:
        """Close the connection at once; waiting calls fail."""
        self._stream.socket.close()
