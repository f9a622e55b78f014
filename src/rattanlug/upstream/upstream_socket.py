"""Socket of a connection to an upstream, with a deadline for each request."""

import errno
import socket
from collections.abc import Awaitable, Callable

import httpcore
import trio

from rattanlug.upstream import acknowledgement_timeout

# Bytes that still arrive this long after the deadline are not part of a response that
# was ready in time.
DEADLINE_GRACE_SECONDS = 0.25
# A smaller request fits into the receive buffer of its upstream.
_LARGE_REQUEST_BYTES = 16 * 1024
# Interval between checks whether the upstream of a large request is alive.
_CHECK_SECONDS = 0.25

# Returns the deadline of a request as of now, seconds on the clock of the socket.
LaterDeadline = Callable[[], float]


class UpstreamSocket:
    """Reads and writes until the deadline of the current request.

    Time limits apply to waits only. Bytes that are already available when a busy
    process reads them after the deadline are accepted, since the upstream wasn't late.

    Parameters
    ----------
    raw : socket.socket
        Connected and non-blocking.
    clock : callable
        Returns the current time, seconds on a monotonic clock. Deadlines are times on
        this clock.
    """

    def __init__(self, raw: socket.socket, clock: Callable[[], float]) -> None:
        self._raw = raw
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        self._clock = clock
        self._first_deadline = 0.0
        self._later_deadline: LaterDeadline | None = None
        self._request_bytes = 0
        self._write_failed = False
        self._acknowledgement_timeout = acknowledgement_timeout.AcknowledgementTimeout(
            raw
        )

    @property
    def _deadline(self) -> float:
        """Deadline of the current request as of now, seconds on the clock."""
        if self._later_deadline is None:
            return self._first_deadline
        return max(self._first_deadline, self._later_deadline())

    @property
    def is_readable(self) -> bool:
        """Whether unread bytes or the end of the connection are available."""
        return self._stream.socket.is_readable()

    def set_deadline(
        self, deadline: float, later_deadline: LaterDeadline | None = None
    ) -> None:
        """Set the deadline of the next request.

        Parameters
        ----------
        deadline : float
            Seconds on the clock of the socket.
        later_deadline : callable, optional
            Returns the deadline as of now, which may be later than the first one.
        """
        self._first_deadline = deadline
        self._later_deadline = later_deadline
        self._request_bytes = 0

    def check_deadline(self) -> None:
        """Check that the current request has time left, or is hardly late.

        Raises
        ------
        httpcore.ReadTimeout
        """
        if self._clock() > self._deadline + DEADLINE_GRACE_SECONDS:
            raise httpcore.ReadTimeout("no complete response by the deadline")

    async def read(self, max_bytes: int) -> bytes:
        """Receive bytes; empty at the end of the connection.

        Raises
        ------
        httpcore.ReadTimeout, httpcore.ReadError
        """
        self.check_deadline()
        try:
            data = self._raw.recv(max_bytes)
        except BlockingIOError:
            data = await self._wait_and_read(max_bytes)
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc
        else:
            # Without this checkpoint, an upstream that sends continuously blocks the
            # event loop.
            await trio.lowlevel.cancel_shielded_checkpoint()
        if not data and self._write_failed:
            # The kernel reports a reset once, here to the write. After that, reading
            # gives the bytes received before and then an ordinary end.
            raise httpcore.ReadError("the connection was reset")
        self._restore_acknowledgement_timeout()
        return data

    async def write(self, data: bytes) -> None:
        """Send all bytes.

        Raises
        ------
        httpcore.WriteTimeout, httpcore.WriteError
        """
        self._request_bytes += len(data)
        try:
            await self._send_all(memoryview(data))
        except (OSError, trio.ClosedResourceError) as exc:
            self._write_failed = True
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def _restore_acknowledgement_timeout(self) -> None:
        """Restore the time limit for acknowledgements, if it was extended.

        Raises
        ------
        httpcore.ReadError
        """
        try:
            self._acknowledgement_timeout.restore()
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def _send_all(self, data: memoryview) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._clock() >= self._deadline:
            raise httpcore.WriteTimeout("no time was left to send the request")
        while data:
            try:
                data = data[self._raw.send(data) :]
            except BlockingIOError:
                if not await self._wait(trio.lowlevel.wait_writable):
                    raise httpcore.WriteTimeout(
                        "the upstream did not read the request"
                    ) from None
                self._acknowledgement_timeout.restore()
        # Without this checkpoint, an upstream that reads continuously blocks the event
        # loop.
        await trio.lowlevel.cancel_shielded_checkpoint()

    async def _wait_and_read(self, max_bytes: int) -> bytes:
        is_ready = False
        try:
            is_ready = await self._wait(trio.lowlevel.wait_readable)
            return self._raw.recv(max_bytes)
        except BlockingIOError:
            if not is_ready:
                raise httpcore.ReadTimeout("no response by the deadline") from None
            return await self._wait_and_read(max_bytes)
        except (OSError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> bool:
        """Wait for the socket; return whether it became ready by the deadline.

        Raises
        ------
        trio.ClosedResourceError
        """
        is_large = self._request_bytes > _LARGE_REQUEST_BYTES
        while True:
            remaining = max(0.0, self._deadline - self._clock())
            seconds = min(remaining, _CHECK_SECONDS) if is_large else remaining
            with trio.move_on_after(seconds) as scope:
                await wait(self._raw)
            if not scope.cancelled_caught:
                return True
            if seconds == remaining and self._clock() >= self._deadline:
                return False
            self._acknowledgement_timeout.extend_if_alive()


async def connect(
    host: str,
    port: int,
    local_host: str,
    options: list[tuple[int, int, int]],
    seconds: float,
) -> socket.socket:
    """Open a connection.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    local_host : str
        Source address.
    options : list of tuple of int
        Level, name and value of socket options.
    seconds : float
        Time limit for the wait. A connection that is already open when a busy process
        checks it is accepted even after that.

    Raises
    ------
    OSError
        The connection could not be opened, or not in time.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        for option in options:
            raw.setsockopt(*option)
        raw.bind((local_host, 0))
        code = raw.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            with trio.move_on_after(seconds) as scope:
                await trio.lowlevel.wait_writable(raw)
            if scope.cancelled_caught:
                raise TimeoutError(f"no connection in {seconds:.2f} s")
            code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "unknown"))
    except BaseException:
        raw.close()
        raise
    return raw
