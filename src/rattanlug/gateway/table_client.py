"""Asks another VM for changes of the store's tables."""

import trio

from rattanlug.peer import error, framing
from rattanlug.tables import follow_codec, follow_messages

# Opening a connection within a region takes some milliseconds; a lost packet is sent
# again after 0.2 s at the earliest.
CONNECT_SECONDS = 0.4
# Time for an answer beyond the wait that was asked for.
ANSWER_SECONDS = 0.4


class UnreachableError(Exception):
    """The VM did not answer in time, or not in this protocol."""


class TableClient:
    """Keeps one connection to the VM that is followed.

    Parameters
    ----------
    local_host : str
        Source address of connections.
    port : int
        Where all VMs serve their followers.
    """

    def __init__(self, local_host: str, port: int) -> None:
        self._local_host = local_host
        self._port = port
        self._host = ""
        self._stream: trio.SocketStream | None = None

    async def ask(
        self, host: str, request: follow_messages.FollowRequest
    ) -> follow_messages.FollowAnswer:
        """Return the answer of a VM.

        Raises
        ------
        UnreachableError
        """
        try:
            stream = await self._connection(host)
            with trio.fail_after(request.wait + ANSWER_SECONDS):
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
            await trio.aclose_forcefully(stream)

    async def _connection(self, host: str) -> trio.SocketStream:
        if self._stream is None or host != self._host:
            await self.aclose()
            with trio.fail_after(CONNECT_SECONDS):
                self._stream = await trio.open_tcp_stream(
                    host, self._port, local_address=self._local_host
                )
            self._host = host
        return self._stream
