"""A TCP proxy on loopback that injects network faults."""

import contextlib
import enum
import socket
import struct

import trio

_CHUNK_BYTES = 65536
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How the proxy treats traffic."""

    OPEN = "open"
    # Data is forwarded after a delay.
    DELAYED = "delayed"
    # No data is forwarded, and connections stay open.
    SILENT = "silent"
    # Requests are forwarded, responses are not.
    NO_RESPONSES = "no responses"
    # Connections are reset.
    RESET = "reset"


class Gate:
    """Injects network faults into connections."""

    def __init__(self) -> None:
        self._mode = Mode.OPEN
        self._delay = 0.0
        self._changed = trio.Event()
        # Intervals in which connections were not forwarded as usual.
        self.disturbances: list[list[float]] = []
        self._open: set[trio.SocketStream] = set()
        self._has_ended = False

    @property
    def mode(self) -> Mode:
        """How the proxy treats traffic at present."""
        return self._mode

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Set the mode; ``delay``, in seconds, is used by `Mode.DELAYED` only."""
        if self._has_ended:
            return
        now = trio.current_time()
        if self._mode is not Mode.OPEN:
            self.disturbances[-1][1] = now
        if mode is not Mode.OPEN:
            self.disturbances.append([now, float("inf")])
        self._mode, self._delay = mode, delay
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.RESET:
            self.reset_connections()

    def end(self) -> None:
        """Reset all connections from now on, whatever mode is set later.

        What it led to is gone, and another program may get its port.
        """
        self.set_mode(Mode.RESET)
        self._has_ended = True

    def reset_connections(self) -> None:
        """Reset all open connections."""
        now = trio.current_time()
        if self._mode is Mode.OPEN:
            self.disturbances.append([now, now])
        for stream in list(self._open):
            with contextlib.suppress(OSError):
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            stream.socket.close()

    def connected(self, stream: trio.SocketStream) -> None:
        """Add an open connection."""
        self._open.add(stream)
        if self._mode is Mode.RESET:
            self.reset_connections()

    def closed(self, stream: trio.SocketStream) -> None:
        """Remove a connection."""
        self._open.discard(stream)

    async def delay_or_block(self, is_response: bool) -> None:
        """Wait until data may be forwarded."""
        if self._mode is Mode.DELAYED:
            await trio.sleep(self._delay)
        while self._mode is Mode.SILENT or (
            self._mode is Mode.NO_RESPONSES and is_response
        ):
            await self._changed.wait()


class Proxy(Gate):
    """Forwards connections to one address.

    Parameters
    ----------
    port : int
        Target on 127.0.0.1.
    """

    def __init__(self, port: int) -> None:
        super().__init__()
        self._target = port
        self.host = "127.0.0.1"
        self.port = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        self._open.add(client)
        try:
            if self._mode is Mode.RESET:
                self.reset_connections()
                return
            target = await trio.open_tcp_stream("127.0.0.1", self._target)
            self._open.add(target)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, client, target, False)
                    nursery.start_soon(self._pump, target, client, True)
            finally:
                self._open.discard(target)
                await trio.aclose_forcefully(target)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._open.discard(client)
            await trio.aclose_forcefully(client)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, is_response: bool
    ) -> None:
        while True:
            data = await source.receive_some(_CHUNK_BYTES)
            await self.delay_or_block(is_response)
            if not data:
                # Close both directions; neither daemon nor stand-ins use half-closing.
                raise trio.BrokenResourceError("connection closed by peer")
            await sink.send_all(data)
