"""Stream of the connection of one caller, read by the fast path or by hypercorn."""

import contextlib
import socket
from collections.abc import Callable, Iterator

import trio

from rattanlug.caller import listener, memory_reservation, reply, request_head
from rattanlug.daemon import clock, socket_close
from rattanlug.errors import error
from rattanlug.metrics import counters

# Limits how long a caller that does not read its response keeps it in memory.
SEND_SECONDS = 20.0
# Small, since many connections may become readable at the same time.
_READ_BYTES = 16 * 1024
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
# seconds on ``clock.now``. Returns the encoded response, or None if an upstream is
# needed.
LocalReply = Callable[[request_head.RequestHead, float], bytes | None]


class CallerStream:
    """Stream of one caller with a time limit for sending.

    The fast path reads from it first; hypercorn gets it as its network stream when a
    request needs the library. In both cases a request that needs no upstream gets a
    local reply, a response that is sent without calling the application.

    Parameters
    ----------
    accepted : listener.AcceptedConnection
    all_counters : counters.Counters
    local_reply : callable or None
        Returns the encoded response to a request that needs no upstream, or None.
    earliest_ready_at : callable
        Returns the earliest time at which a socket that is readable now can have
        become readable, seconds on ``clock.now``.
    head_memory : memory_reservation.MemoryReservation
        For the part of a head that the HTTP library holds until the head is complete.
    """

    def __init__(
        self,
        accepted: listener.AcceptedConnection,
        all_counters: counters.Counters,
        local_reply: LocalReply | None,
        earliest_ready_at: Callable[[], float],
        head_memory: memory_reservation.MemoryReservation,
    ) -> None:
        self._head_memory = head_memory
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
        # Head of a response that is held back until its body can be sent with it.
        self._head = b""
        # Pipelined bytes, and the lower bound of the arrival time of the first.
        self._pending = b""
        self._earliest_pending_at = accepted.earliest_opened_at
        self._has_buffered_bytes: Callable[[], bool] = lambda: False
        # Whether a request has begun whose response has not been handed to the socket.
        self._in_request = False
        # Whether bytes are being sent. The caller may receive a response, and send its
        # next request, before the call that sends the response returns.
        self._sending = False
        # Whether a request has begun whose response has not been sent.
        self._is_unanswered = False
        # Requests of this connection that the application is serving. The next one may
        # begin before the task of the previous one has ended.
        self._served = 0
        # When the first byte of the current request was read, seconds on trio's clock.
        self._begun_at = trio.current_time()
        # Whether the current request has been passed to the application.
        self._has_been_read = False
        self._has_failed_to_send = False
        self._close_cause = ""
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
        """Whether no request is being read or served and no response is being sent."""
        return not self._in_request and not self._sending

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has begun whose response has not been sent."""
        return self._is_unanswered

    @property
    def phase(self) -> str:
        """What was done last for the unanswered request, or idle."""
        if not self._is_unanswered:
            return "idle"
        if self._has_failed_to_send:
            return "sending"
        return "serving" if self._has_been_read else "reading"

    @property
    def close_cause(self) -> str:
        """Why the connection ended: of the server if it closed it, else of the caller.

        Empty if neither is known to have ended it.
        """
        if self._close_cause or not self._has_disconnected:
            return self._close_cause
        return "disconnected"

    @property
    def socket(self) -> trio.socket.SocketType:
        """Socket of the connection."""
        return self._stream.socket

    @property
    def arrived_at(self) -> float:
        """Earliest possible arrival of the current request, as of ``clock.now``."""
        return self._arrived_at

    @property
    def received_at(self) -> float:
        """Earliest possible arrival of what was received last, as of ``clock.now``."""
        return max(self._arrived_at, self._earliest_received_at)

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

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the caller wait in the socket."""
        try:
            return bool(self._raw.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing to read, or the connection is broken or closed.
            return False

    def set_buffer(self, has_bytes: Callable[[], bool]) -> None:
        """Set the callable that tells whether the library holds further bytes.

        They are the beginning of the next request once a response is sent.
        """
        self._has_buffered_bytes = has_bytes

    def on_disconnect(self, action: Callable[[], None] | None) -> None:
        """Set the disconnect callback; call it now if the caller has disconnected."""
        self._on_disconnect = action
        if self._has_disconnected and action is not None:
            action()

    def idle_seconds(self, now: float) -> float:
        """Return the seconds since bytes were last received or sent.

        It is 0 while a request is being served or a response is being sent, which may
        take longer than a caller may be idle.

        Parameters
        ----------
        now : float
            Seconds on the clock of trio.
        """
        return 0.0 if self._served or self._sending else now - self._last_used

    def incomplete_head_seconds(self, now: float) -> float:
        """Return the seconds since a request began whose head is still incomplete.

        It is 0 if there is no such request.

        Parameters
        ----------
        now : float
            Seconds on the clock of trio.
        """
        is_reading = self._in_request and not (self._served or self._sending)
        return now - self._begun_at if is_reading else 0.0

    async def receive_request(self) -> bytes:
        """Receive the first bytes of a request; empty if the caller disconnected."""
        data = self._take_pending() or await self._receive(_READ_BYTES)
        if data:
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
            # _receive recorded the disconnect; the task that serves the connection gets
            # the error when it next uses the stream.
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
        self._is_unanswered = False
        await self._send_with_timeout(data)
        self._in_request = self._is_unanswered = bool(self._pending)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive bytes; an HTTP/2 preface is treated as the end of the stream."""
        # Without this checkpoint, a caller that sends continuously blocks the loop.
        await trio.lowlevel.checkpoint()
        data = self._take_pending()
        if not data:
            data = await self._receive_request(max_bytes)
        if data.startswith(_HTTP_2_PREFACE):
            self._counters.add("requests_rejected", reason="http_2")
            self._close_cause = "http_2"
            return b""
        if not self._served:
            try:
                self._hold_head(len(data))
            except error.RefusedError as exc:
                await self._reject_head(exc)
                return b""
        return data

    def _hold_head(self, size: int) -> None:
        """Reserve memory for a part of a head.

        Raises
        ------
        error.RefusedError
        """
        self._head_memory.add(size, self._head_memory.size + size)

    async def _reject_head(self, exc: error.RefusedError) -> None:
        """Answer a request whose head is incomplete; the connection ends then."""
        self._counters.add("requests_rejected", reason="memory")
        self._close_cause = "memory"
        self._is_unanswered = False
        rejection = reply.from_error(exc)
        headers = [*rejection.headers, (b"connection", b"close")]
        response = rejection._replace(headers=headers)
        await self._send_with_timeout(reply.to_bytes(response))

    async def _receive_request(self, max_bytes: int) -> bytes:
        """Send local replies; return the bytes of the first request without one."""
        data = await self._receive(max_bytes)
        while self.between_requests:
            head = request_head.parse_complete(data)
            local_reply = None if head is None else self.find_local_reply(head)
            if local_reply is None:
                break
            self._begin_request()
            self._is_unanswered = False
            await self._send_with_timeout(local_reply)
            self._in_request = False
            data = await self._receive(max_bytes)
        if data and not self._in_request:
            self._begin_request()
        return data

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Record that a request is being served until the context ends.

        Its bytes may have been received before the response to the previous request
        was sent.
        """
        if not self._in_request:
            self._begin_request()
        self._served += 1
        self._has_been_read = True
        # From here on, the application counts what is held of the request.
        self._head_memory.release()
        try:
            yield
        finally:
            self._served -= 1
            self._last_used = trio.current_time()

    def _begin_request(self) -> None:
        # A shutdown closes the connections that are between requests; from now on it
        # waits for the response on this one.
        self._in_request = self._is_unanswered = True
        self._has_been_read = False
        self._begun_at = trio.current_time()
        self._arrived_at = self._earliest_received_at

    async def send_all(self, data: bytes) -> None:
        """Send bytes; abort the connection if the caller does not read them."""
        is_error = not self._head and data.startswith(_ERROR_STATUS_LINES)
        if is_error and not any(header in data for header in _APPLICATION_HEADERS):
            self._counters.add("requests_rejected", reason="malformed")
        is_head = not self._head and data.startswith(_STATUS_LINE)
        if is_head and not data.startswith(_INFORMATIONAL):
            # Hypercorn sends head, body and an empty end separately; one write for
            # head and body saves a system call and a packet.
            self._head = data
            return
        data, self._head = self._head + data, b""
        if not data:
            return
        if not data.startswith(_INFORMATIONAL):
            # The request ends before the bytes leave, since the next one may begin
            # while they are being sent.
            self._is_unanswered = False
            self._in_request = _CLOSE in data[: data.find(_HEAD_END)].lower()
            if not self._in_request and self._has_buffered_bytes():
                self._begin_request()
        await self._send_with_timeout(data)

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
        size = min(max_bytes, _READ_BYTES)
        while True:
            # Taken before, since this process may be interrupted after it.
            read_at = clock.now()
            try:
                data = self._raw.recv(size)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._raw)
                self._earliest_received_at = self._earliest_ready_at()
            except OSError as exc:
                raise trio.BrokenResourceError("the connection broke") from exc
            else:
                if len(data) < size:
                    # The socket was empty after that.
                    self._earliest_next_byte_at = read_at
                return data

    def _record_disconnect(self) -> None:
        self._has_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    async def _send_with_timeout(self, data: bytes) -> None:
        self._last_used = trio.current_time()
        # Callers send the next request after they have received the response.
        self._earliest_next_byte_at = clock.now()
        self._sending = True
        try:
            with trio.move_on_after(SEND_SECONDS):
                await self._stream.send_all(data)
                return
        except BaseException:
            self._record_failed_send()
            raise
        finally:
            self._sending = False
            self._last_used = trio.current_time()
        self._counters.add("answers_not_read")
        self._record_failed_send()
        self.abort("send_timeout")
        raise trio.BrokenResourceError("the caller does not read its response")

    def _record_failed_send(self) -> None:
        self._is_unanswered = self._has_failed_to_send = True

    async def send_eof(self) -> None:
        """Half-close the connection."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        socket_close.close(self._stream.socket)
        await trio.lowlevel.checkpoint()

    def abort(self, cause: str) -> None:
        """Close the connection at once; pending calls on it fail.

        Parameters
        ----------
        cause : str
            Label of the counter of unanswered requests.
        """
        self._close_cause = self._close_cause or cause
        socket_close.close(self._stream.socket)
