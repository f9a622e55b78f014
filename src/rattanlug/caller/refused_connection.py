"""Refuses a connection that can't be served."""

import socket

import trio

from rattanlug.caller import listener, reply, request_head
from rattanlug.daemon import socket_close
from rattanlug.errors import error, kind

# Time for the head of the first request, and for what follows it.
WAIT_SECONDS = 0.1
_READ_BYTES = 16 * 1024


async def refuse(accepted: listener.AcceptedConnection, wait_seconds: float) -> bool:
    """Answer the first request with 503, not run, and close the connection.

    Parameters
    ----------
    accepted : listener.AcceptedConnection
    wait_seconds : float
        Time limit for the head of the request, and for what follows it. With 0, only
        what has arrived already is read. A connection without a complete head is
        closed.

    Returns
    -------
    bool
        Whether a request was answered.
    """
    raw = accepted.raw
    is_answered = False
    try:
        with trio.move_on_after(wait_seconds):
            data = b""
            while request_head.HEAD_END not in data and len(data) < _READ_BYTES:
                received = await _receive(raw)
                if not received:
                    return False
                data += received
            if request_head.HEAD_END in data:
                raw.send(_response(data.startswith(b"HEAD ")))
                is_answered = True
        if is_answered:
            raw.shutdown(socket.SHUT_WR)
            # A connection that is closed with unread bytes is reset, and its response
            # may be lost.
            with trio.move_on_after(wait_seconds):
                while await _receive(raw):
                    await trio.lowlevel.checkpoint()
    except OSError:
        # The caller reset the connection; the server counts it as refused.
        pass
    finally:
        await socket_close.aclose(accepted.stream)
    return is_answered


async def _receive(raw: socket.socket) -> bytes:
    """Receive bytes; empty at the end of the connection.

    Raises
    ------
    OSError
    """
    while True:
        try:
            return raw.recv(_READ_BYTES)
        except BlockingIOError:
            await trio.lowlevel.wait_readable(raw)


def _response(is_head: bool) -> bytes:
    rejection = reply.from_error(
        error.RefusedError(
            kind.ErrorKind.NO_CAPACITY, "this VM has too many connections"
        )
    )
    headers = [*rejection.headers, (b"connection", b"close")]
    encoded = reply.to_bytes(rejection._replace(headers=headers))
    return encoded.removesuffix(rejection.body) if is_head else encoded
