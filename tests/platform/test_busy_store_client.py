"""Calls to the store by a process that is late with its own work."""

import http.server
import threading
import time

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.metrics import counters, histograms
from rattanlug.platform import store_client, store_error
from rattanlug.settings import address
from rattanlug.upstream import deadline_backend


class Store(http.server.BaseHTTPRequestHandler):
    """Answers each call at once, or never."""

    protocol_version = "HTTP/1.1"
    is_silent = False

    def do_GET(self):
        if self.is_silent:
            time.sleep(2.0)
            return
        body = b'{"rows": [], "row_version": 1, "now_s": 1.0}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Ignore; the test prints nothing."""


@pytest.fixture
def store(request):
    class Handler(Store):
        is_silent = getattr(request, "param", False)

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield address.Address(*server.server_address)
    server.shutdown()
    server.server_close()


async def keep_busy(seconds):
    """Let each iteration of the loop take some time."""
    while True:
        await trio.lowlevel.checkpoint()
        time.sleep(seconds)


def read(target, busy_seconds):
    """Read a table in a busy loop; return how long it took, seconds."""

    async def main():
        client = store_client.StoreClient(
            target,
            "127.0.0.1",
            clock.now,
            counters.Counters(),
            histograms.Histograms(),
            deadline_backend.DeadlineBackend(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy, busy_seconds)
            await trio.lowlevel.checkpoint()
            started_at = clock.now()
            try:
                await client.read_table("op")
            finally:
                nursery.cancel_scope.cancel()
                with trio.CancelScope(shield=True):
                    await client.aclose()
            return clock.now() - started_at

    return trio.run(main)


# Guards against a busy VM that takes the store for lost, and so sends requests to
# upstreams that have left, because its own lateness used up the time limits.
@pytest.mark.parametrize("busy_seconds", [0.0, 0.05, 0.1, 0.2])
def test_a_busy_process_reads_a_store_that_responds(store, busy_seconds):
    read(store, busy_seconds)


# Guards against a silent store that holds up a busy VM.
@pytest.mark.parametrize("store", [True], indirect=True)
@pytest.mark.parametrize("busy_seconds", [0.0, 0.1])
def test_a_busy_process_gives_up_on_a_silent_store(store, busy_seconds):
    started_at = time.monotonic()
    with pytest.raises((store_error.StoreError, ExceptionGroup)):
        read(store, busy_seconds)
    limit = store_client.CALL_TIMEOUT_SECONDS
    assert limit - 0.1 < time.monotonic() - started_at < limit + 1.0
