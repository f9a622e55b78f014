"""Closes connections and sockets whose close reports an error.

The system may report an error of the connection, or one of its own, when a socket is
closed. The socket is closed all the same, and no other connection is concerned.
"""

import errno
import logging
import socket

import trio

_LOG = logging.getLogger(__name__)
_logged_errors: set[int | None] = set()


def close(sock: socket.socket | trio.socket.SocketType) -> None:
    """Close a socket."""
    try:
        sock.close()
    except OSError as exc:
        _log(exc)


async def aclose(stream: trio.abc.AsyncResource) -> None:
    """Close a connection at once, without waiting for its peer."""
    try:
        await trio.aclose_forcefully(stream)
    except OSError as exc:
        _log(exc)


def _log(exc: OSError) -> None:
    """Log an error, each kind once: it may come with every connection."""
    if exc.errno not in _logged_errors:
        _logged_errors.add(exc.errno)
        _LOG.warning(
            "closing a socket reported an error",
            extra={"error": errno.errorcode.get(exc.errno, str(exc))},
        )
