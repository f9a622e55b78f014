"""Connections to the store whose close reports an error."""

import contextlib
import errno
import http.server
import socket
import threading
import time

import pytest
import trio

from rattanlug.daemon import clock
from rattanlug.metrics import counters, histograms
from rattanlug.platform import store_client, store_error
from rattanlug.settings import address
from rattanlug.upstream import deadline_backend
from tests.gateway import caller

_CALLS = 18


class Store(http.server.BaseHTTPRequestHandler):
    """Answers each call, and closes its connection without announcing it."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = b'{"rows": [], "row_version": 1, "now_s": 1.0}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        time.sleep(0.02)
        self.close_connection = True

    def log_message(self, *arguments):
        """Ignore; the test prints nothing."""


@pytest.fixture
def store():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Store)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield address.Address(*server.server_address)
    server.shutdown()
    server.server_close()


# Guards against a client that loses one of its few places for connections with each
# error at a close, until no call is possible any more.
@caller.in_trio
async def test_calls_succeed_after_errors_at_closes(store, monkeypatch):
    close, fails = socket.socket._real_close, True

    def fail(sock, *arguments):
        is_client = sock.fileno() >= 0 and sock.family == socket.AF_INET
        is_client = is_client and sock.getsockname()[1] != store.port
        # The stand-in closes its connections in threads of its own.
        is_client = is_client and threading.current_thread() is threading.main_thread()
        close(sock, *arguments)
        if is_client and fails:
            raise OSError(errno.EIO, "close failed")

    monkeypatch.setattr(socket.socket, "_real_close", fail)
    client = store_client.StoreClient(
        store,
        "127.0.0.1",
        clock.now,
        counters.Counters(),
        histograms.Histograms(),
        deadline_backend.DeadlineBackend(),
    )
    for _ in range(_CALLS):
        # A single call may fail.
        with contextlib.suppress(store_error.StoreError):
            await client.read_table("op")
        await trio.sleep(0.05)
    fails = False
    await client.read_table("op")
    await client.aclose()
