"""One relayed connection."""

import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import trio

from trial import clock
from trial.relay import cuts, plan

_CHUNK_BYTES = 65536
# Bounds the bytes in transit; more than the bandwidth-delay product of a trial's links.
_CHUNKS_IN_TRANSIT = 64
_RESET = struct.pack("ii", 1, 0)


class Connection:
    """Forwards bytes in both directions, delayed by the one-way time of the link.

    Bytes on a cut link wait until it is restored, as if TCP retransmitted them.

    Parameters
    ----------
    settings : plan.RelayPlan
    forward : plan.Forward
    links : cuts.Cuts
    client : trio.SocketStream
    """

    def __init__(
        self,
        settings: plan.RelayPlan,
        forward: plan.Forward,
        links: cuts.Cuts,
        client: trio.SocketStream,
    ):
        source_host = client.socket.getpeername()[0]
        self._settings = settings
        self._forward = forward
        self._links = links
        self._client = client
        self._source = settings.find_source(source_host)
        self._delay_s = settings.find_delay(source_host)

    async def run(self) -> None:
        """Forward until both directions end."""
        # The client's handshake with this relay is not delayed, so the first bytes wait
        # as long as the handshake over the simulated link would take.
        earliest_delivery = clock.now() + 2 * self._delay_s + self._settings.connect_s
        await self._wait_delivery(earliest_delivery)
        try:
            target = await trio.open_tcp_stream(
                self._forward.target_host, self._forward.port
            )
        except OSError:
            _reset(self._client)
            await trio.aclose_forcefully(self._client)
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, self._client, target)
                nursery.start_soon(self._pump, target, self._client)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(self._client)
            _reset(target)
        finally:
            await trio.aclose_forcefully(target)
            await trio.aclose_forcefully(self._client)

    async def _pump(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](
            _CHUNKS_IN_TRANSIT
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, receive, sink)
            async with send:
                while True:
                    data = await source.receive_some(_CHUNK_BYTES)
                    await send.send((clock.now() + self._delay_s, data))
                    if not data:
                        break

    async def _write(
        self,
        chunks: AsyncIterator[tuple[float, bytes]],
        sink: trio.SocketStream,
    ) -> None:
        async for due, data in chunks:
            await self._wait_delivery(due)
            if data:
                await sink.send_all(data)
            else:
                await sink.send_eof()

    async def _wait_delivery(self, due: float) -> None:
        await trio.sleep(max(0.0, due - clock.now()))
        await self._links.wait_open(self._source, self._forward.place)


def _reset(stream: trio.SocketStream) -> None:
    """Have the next close send a TCP reset instead of a FIN."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
