"""Client that follows the tables of another VM instead of reading the store."""

import trio

from rattanlug.daemon import socket_close
from rattanlug.peer import error, framing
from rattanlug.tables import follow_codec, follow_messages

# Connecting within a region takes a few milliseconds; retransmission of a lost packet
# takes at least 0.2 s.
CONNECT_TIMEOUT_SECONDS = 0.4
# Time for the response beyond the wait in the request.
RESPONSE_TIMEOUT_SECONDS = 0.4


class UnreachableError(Exception):
    """The VM did not respond in time, or its response could not be read."""


class TableClient:
    """Keeps one connection to the VM being followed.

    Parameters
    ----------
    local_host : str
        Local address of outgoing connections.
    port : int
        Port on which every VM serves its followers.
    """

    def __init__(self, local_host: str, port: int) -> None:
        self._local_host = local_host
        self._port = port
        self._host = ""
        self._stream: trio.SocketStream | None = None

    async def follow(
        self, host: str, request: follow_messages.FollowRequest
    ) -> follow_messages.FollowAnswer:
        """Request table changes from a VM and return its response.

        Raises
        ------
        UnreachableError
        """
        try:
            stream = await self._connection(host)
            with trio.fail_after(request.wait + RESPONSE_TIMEOUT_SECONDS):
                await stream.send_all(
                    framing.frame(follow_codec.encode_request(request))
                )
                data = await framing.FrameReader(stream).receive()
            if data is not None:
                return follow_codec.decode_answer(data)
        except (
            OSError,
            error.MalformedMessageError,
            follow_codec.UnreadableMessageError,
            trio.BrokenResourceError,
            trio.TooSlowError,
        ) as exc:
            await self.aclose()
            raise UnreachableError(f"{type(exc).__name__}: {exc}") from exc
        except BaseException:
            await self.aclose()
            raise
        await self.aclose()
        raise UnreachableError("the VM closed the connection")

    async def aclose(self) -> None:
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await socket_close.aclose(stream)

    async def _connection(self, host: str) -> trio.SocketStream:
        if self._stream is None or host != self._host:
            await self.aclose()
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                self._stream = await trio.open_tcp_stream(
                    host, self._port, local_address=self._local_host
                )
            self._host = host
        return self._stream
