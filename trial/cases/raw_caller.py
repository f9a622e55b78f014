"""A caller that writes bytes as they are and reads one response at a time."""

import h11
import trio

from trial.cases import outcome
from trial.shared_platform import fleet

_READ_BYTES = 65536


def head(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int = 1500,
    host: str = fleet.HOST,
    lines: str = "",
) -> bytes:
    """Return the encoded head of a request.

    Parameters
    ----------
    method, path, request_id : str
    deadline_ms : int
    host : str
    lines : str
        Further header lines, each with its line end.
    """
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Token {fleet.KEY}\r\nRattanlug-Request-Id: {request_id}\r\n"
        f"Rattanlug-Deadline-Ms: {deadline_ms}\r\n{lines}\r\n"
    ).encode()


class RawCaller:
    """One connection of a caller.

    Parameters
    ----------
    stream : trio.SocketStream
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._left = b""

    @property
    def stream(self) -> trio.SocketStream:
        """Connection to the daemon."""
        return self._stream

    async def send(self, data: bytes) -> None:
        """Write bytes.

        Raises
        ------
        trio.BrokenResourceError
        """
        await self._stream.send_all(data)

    async def receive(
        self, method: str, request_id: str = "", timeout_seconds: float = 8.0
    ) -> outcome.Outcome:
        """Read one response to a request with this method."""
        began = trio.current_time()
        port = self._stream.socket.getsockname()[1]
        status, failure, body, closes = 0, "", b"", False
        with trio.move_on_after(timeout_seconds) as scope:
            try:
                status, body, closes = await self._read(method)
            except (OSError, trio.BrokenResourceError):
                failure = "reset"
            except EOFError as exc:
                failure = str(exc)
            except h11.RemoteProtocolError as exc:
                failure = f"broken: {exc}"
        if scope.cancelled_caught:
            failure = "timeout"
        now = trio.current_time()
        return outcome.Outcome(
            status if not failure else 0,
            failure,
            now - began,
            request_id,
            body,
            closes,
            now,
            port,
        )

    async def _read(self, method: str) -> tuple[int, bytes, bool]:
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=method, target="/", headers=[("Host", "x"), ("Content-Length", "0")]
        )
        connection.send(request)
        connection.send(h11.EndOfMessage())
        if self._left:
            connection.receive_data(self._left)
        status, body, closes, has_begun = 0, b"", False, bool(self._left)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(_READ_BYTES)
                has_begun = has_begun or bool(data)
                if not data and not has_begun:
                    raise EOFError("closed")
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                closes = (b"connection", b"close") in event.headers
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._left = connection.trailing_data[0]
                return status, body, closes
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed within the response")

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)
