"""The socket of one connection to an upstream."""

import errno
import socket
from collections.abc import Callable

import httpcore
import trio

_MILLISECONDS = 1000
# Bytes that keep coming after the deadline are no answer that was ready in time.
LATE_SECONDS = 0.25


class UpstreamSocket:
    """Reads and writes until the deadline of the present request.

    Time limits apply to waits only: what is there when a busy process comes to look is
    taken, also after the deadline, since the upstream was not late.

    Parameters
    ----------
    raw : socket.socket
        Connected and non-blocking.
    clock : callable
        Present time, seconds.
    """

    def __init__(self, raw: socket.socket, clock: Callable[[], float]) -> None:
        self._raw = raw
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        self._clock = clock
        self._deadline = 0.0

    @property
    def is_readable(self) -> bool:
        """Whether bytes or the end of the connection wait."""
        return self._stream.socket.is_readable()

    def begin(self, deadline: float) -> None:
        """Set the deadline of the next request, seconds."""
        self._deadline = deadline

    async def read(self, max_bytes: int) -> bytes:
        """Return some bytes; empty at the end of the connection.

        Raises
        ------
        httpcore.ReadTimeout, httpcore.ReadError
        """
        if self._clock() > self._deadline + LATE_SECONDS:
            raise httpcore.ReadTimeout("no whole answer by the deadline")
        try:
            data = self._raw.recv(max_bytes)
        except BlockingIOError:
            data = await self._wait_and_read(max_bytes)
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc
        else:
            # An upstream that sends without end must not keep the loop to itself.
            await trio.lowlevel.cancel_shielded_checkpoint()
        return data

    async def write(self, data: bytes) -> None:
        """Send all bytes.

        Raises
        ------
        httpcore.WriteTimeout, httpcore.WriteError
        """
        left = self._deadline - self._clock()
        try:
            with trio.move_on_after(max(0.0, left)) as scope:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.WriteError(str(exc)) from exc
        if scope.cancelled_caught:
            raise httpcore.WriteTimeout("the upstream did not read the request")

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def _wait_and_read(self, max_bytes: int) -> bytes:
        left = self._deadline - self._clock()
        try:
            with trio.move_on_after(max(0.0, left)) as scope:
                await trio.lowlevel.wait_readable(self._raw)
            if scope.cancelled_caught:
                raise httpcore.ReadTimeout("no answer by the deadline")
            return self._raw.recv(max_bytes)
        except BlockingIOError:
            return await self._wait_and_read(max_bytes)
        except (OSError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc


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
        Longest wait; a connection that is open when the process comes to look counts.

    Raises
    ------
    OSError
        Also when the time is over.
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
