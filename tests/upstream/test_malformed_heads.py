"""Responses that the parser of the HTTP library rejects."""

import contextlib
import functools

import httpcore
import pytest
import trio

from rattanlug.errors import error
from rattanlug.metrics import counters, histograms
from rattanlug.platform import store_client
from rattanlug.settings import address
from rattanlug.table_service import client as table_client
from rattanlug.table_service import error as table_error
from rattanlug.upstream import (
    client,
    connection_pools,
    deadline_backend,
    memory_budget,
)
from tests import reference_cycles

_HOST = "127.0.0.1"
_ID = b"request-id"
_HEADS = [b": x\r\n\r\n", b"Content-Length: abc\r\n\r\n", b"X x\r\n\r\n"]
_HEADERS = [(b"host", b"u"), (_ID, b"mine")]


async def send_of_gateway(port):
    pools = connection_pools.ConnectionPools(
        _HOST,
        _ID,
        trio.current_time,
        counters.Counters(),
        memory_budget.MemoryBudget(1 << 26),
    )
    url = httpcore.URL(scheme=b"http", host=_HOST.encode(), port=port, target=b"/")
    await pools.send(
        _HOST,
        port,
        functools.partial(httpcore.Request, "GET", url, headers=_HEADERS),
        b"mine",
        1.0,
        trio.current_time() + 5.0,
        lambda: None,
    )


async def send_of_daemon(port):
    async with contextlib.aclosing(client.UpstreamClient(_HOST)) as upstreams:
        await upstreams.send(_HOST, port, "GET", b"/", _HEADERS, b"", 5.0)


async def fetch_of_daemon(port):
    async with contextlib.aclosing(client.UpstreamClient(_HOST)) as upstreams:
        await upstreams.fetch(_HOST, port, b"/", 5.0)


async def read_store(port):
    store = store_client.StoreClient(
        address.Address(_HOST, port),
        _HOST,
        trio.current_time,
        counters.Counters(),
        histograms.Histograms(),
        deadline_backend.DeadlineBackend(trio.current_time),
    )
    async with contextlib.aclosing(store):
        await store.read_table("op")


async def read_platform(port):
    platform = table_client.PlatformClient(address.Address(_HOST, port), _HOST)
    async with contextlib.aclosing(platform):
        await platform.scan("t", "")


# Guards against requests, with their bodies and connections, that stay in memory until
# the next run of the collector, by a reference cycle of the parser's error.
@pytest.mark.parametrize("head", _HEADS)
@pytest.mark.parametrize(
    "call",
    [send_of_gateway, send_of_daemon, fetch_of_daemon, read_store, read_platform],
)
def test_a_malformed_head_leaves_no_reference_cycle(call, head):
    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 X\r\nRequest-Id: mine\r\n" + head)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=_HOST)
            )
            with pytest.raises((error.RattanlugError, table_error.PlatformError)):
                await call(listeners[0].socket.getsockname()[1])
            nursery.cancel_scope.cancel()

    with reference_cycles.found() as errors:
        trio.run(main)
    assert errors == []
