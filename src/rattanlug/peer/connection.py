"""A connection to a peer, shared by concurrent calls."""

import itertools
import math
from typing import Any

import trio

from rattanlug.peer import codec, error, framing
from rattanlug.peer.generated import ttypes


class Connection:
    """Sends requests and matches responses to them by id.

    Parameters
    ----------
    stream : trio.SocketStream
    sender : str
        Name of this VM.
    counters : collections.Counter
    """

    def __init__(self, stream: trio.SocketStream, sender: str, counters):
        self._stream = stream
        self._sender = sender
        self._counters = counters
        self._ids = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._outgoing, self._outgoing_receiver = trio.open_memory_channel(math.inf)
        self._closed = False
        self._peer = ""
        self._last_received = -math.inf
        self.last_used = trio.current_time()

    @property
    def peer(self) -> str:
        """Name of the VM that sent the newest response, empty before the first."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether calls can no longer use the connection."""
        return self._closed

    @property
    def calls(self) -> int:
        """Number of calls that wait for a response."""
        return len(self._pending)

    async def run(self) -> None:
        """Send and receive until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send)
                await self._receive()
                nursery.cancel_scope.cancel()
        except* error.MalformedMessageError:
            self._counters["peer_frames_bad"] += 1
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.close()
            await trio.aclose_forcefully(self._stream)

    def close(self) -> None:
        """End the connection; waiting calls fail."""
        if self._closed:
            return
        self._closed = True
        self._outgoing.close()
        self._stream.socket.close()
        for pending in self._pending.values():
            pending.done.set()

    async def call(self, message: Any, timeout: float) -> Any:
        """Send a request and wait for its response.

        Parameters
        ----------
        message : object
            A struct of ``rattanlug.thrift``.
        timeout : float
            Seconds.

        Returns
        -------
        object

        Raises
        ------
        error.PeerError
        """
        id = next(self._ids)
        # Frames are sent by another task, so that a cancelled call does not leave part
        # of a frame on the connection.
        data = framing.frame(codec.encode(id, self._sender, message))
        started = self.last_used = trio.current_time()
        pending = self._pending[id] = _PendingCall()
        try:
            self._outgoing.send_nowait(data)
            with trio.move_on_after(timeout) as scope:
                await pending.done.wait()
        except trio.ClosedResourceError as exc:
            raise error.PeerUnreachableError("the connection is closed") from exc
        finally:
            del self._pending[id]
        if scope.cancelled_caught:
            if self._last_received < started:
                # Nothing was received since the call began: a new connection may reach
                # the peer sooner than TCP's retransmission.
                self.close()
            raise error.PeerTimeoutError(f"no response within {timeout:g} s")
        if pending.response is None:
            raise error.PeerUnreachableError("the connection ended")
        if isinstance(pending.response, ttypes.Failure):
            raise error.PeerRefusedError(pending.response.kind, pending.response.detail)
        return pending.response

    async def _send(self):
        async for data in self._outgoing_receiver:
            await self._stream.send_all(data)

    async def _receive(self):
        reader = framing.FrameReader(self._stream)
        while (data := await reader.receive()) is not None:
            self._last_received = trio.current_time()
            response = codec.decode(data)
            self._peer = response.sender
            pending = self._pending.get(response.id)
            if pending is None:
                self._counters["peer_responses_late"] += 1
                continue
            pending.response = response.message
            pending.done.set()


class _PendingCall:
    __slots__ = ("done", "response")

    def __init__(self):
        self.done = trio.Event()
        self.response = None
