"""A way to the store that can answer with any bytes."""

import contextlib
from collections.abc import Awaitable, Callable

import trio

Script = Callable[[trio.SocketStream], Awaitable[None]]
_READ_BYTES = 65536


class StoreGate:
    """Relays connections to the store, or plays a script on each.

    Parameters
    ----------
    store_port : int
    """

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._script: Script | None = None
        self._scopes: set[trio.CancelScope] = set()
        self._listeners: list[trio.SocketListener] = []
        self.connections = 0
        self.delay_seconds = 0.0

    @property
    def port(self) -> int:
        """Port that daemons connect to."""
        return self._listeners[0].socket.getsockname()[1]

    def play(self, script: Script | None) -> None:
        """Play a script on all connections from now on; end the open ones."""
        self._script = script
        for each in list(self._scopes):
            each.cancel()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        self._listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started()
        await trio.serve_listeners(self._serve, self._listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        scope = trio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope, contextlib.suppress(OSError, trio.BrokenResourceError):
                if self._script is not None:
                    await self._script(stream)
                else:
                    await self._relay(stream)
        finally:
            self._scopes.discard(scope)
            await trio.aclose_forcefully(stream)

    async def _relay(self, stream: trio.SocketStream) -> None:
        store = await trio.open_tcp_stream("127.0.0.1", self._store_port)
        async with store, trio.open_nursery() as nursery:

            async def copy(source, target, delays: bool) -> None:
                with contextlib.suppress(OSError, trio.BrokenResourceError):
                    async for data in source:
                        if delays and self.delay_seconds:
                            await trio.sleep(self.delay_seconds)
                        await target.send_all(data)
                nursery.cancel_scope.cancel()

            nursery.start_soon(copy, stream, store, False)
            nursery.start_soon(copy, store, stream, True)
