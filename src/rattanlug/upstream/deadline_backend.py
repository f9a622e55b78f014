"""Network backend of the HTTP library whose time limits apply to waits only."""

import socket
import ssl
import time
from collections.abc import Callable, Iterable
from typing import Any

import httpcore

from rattanlug.daemon import socket_close
from rattanlug.upstream import merging_stream, upstream_socket

# A chunk that is larger is not accepted.
MAX_CHUNK_BYTES = 16 << 20
_NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class DeadlineBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on which the time of a busy process is no time of the server.

    The library's own backend counts the time that the process spends on other work. A
    server that responds in time then looks lost to a busy process.

    Parameters
    ----------
    clock : callable
        Returns the current time, monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection.

        Parameters
        ----------
        host : str
            IP address.
        port : int
        timeout : float
            Time limit for the wait, seconds.
        local_address : str
            Source address.
        socket_options : iterable of tuple, optional
            Level, name and value.

        Raises
        ------
        httpcore.ConnectTimeout, httpcore.ConnectError
        """
        options = [_NO_DELAY, *(socket_options or ())]
        try:
            raw = await upstream_socket.connect(
                host, port, local_address or "", options, timeout or 0.0
            )
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        connected = upstream_socket.UpstreamSocket(raw, self._clock)
        return merging_stream.MergingStream(
            _DeadlineStream(connected, self._clock), MAX_CHUNK_BYTES
        )


class _DeadlineStream(httpcore.AsyncNetworkStream):
    """Connection on which each request has as much time as the library gives it.

    The time counts from the last bytes of the request. Bytes that are there when a busy
    process reads them are accepted for some time after it.

    Parameters
    ----------
    connected : upstream_socket.UpstreamSocket
    clock : callable
        Returns the current time, monotonic seconds.
    """

    def __init__(
        self, connected: upstream_socket.UpstreamSocket, clock: Callable[[], float]
    ) -> None:
        self._connected = connected
        self._clock = clock

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive bytes until the deadline; empty at the end of the connection.

        Raises
        ------
        httpcore.ReadTimeout, httpcore.ReadError
        """
        return await self._connected.read(max_bytes)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; the deadline is that much later.

        Raises
        ------
        httpcore.WriteTimeout, httpcore.WriteError
        """
        self._connected.set_deadline(self._clock() + (timeout or 0.0))
        if buffer:
            await self._connected.write(buffer)

    async def aclose(self) -> None:
        """Close the connection.

        An error would take a place of the library's pool for ever.
        """
        await socket_close.aclose(self._connected)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error, since no server speaks TLS."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return whether unread bytes are available, if asked for ``is_readable``."""
        return self._connected.is_readable if info == "is_readable" else None
