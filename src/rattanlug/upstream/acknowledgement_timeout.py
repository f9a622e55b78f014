"""Time limit for the acknowledgements of an upstream that holds up a request."""

import logging
import socket
import struct

# The kernel breaks a connection when sent data is unacknowledged for this time.
SECONDS = 1.5
_MILLISECONDS_PER_SECOND = 1000
# Offsets in the kernel's ``tcp_info``, whose fields keep their places.
_UNACKED = 24
_LAST_DATA_SENT = 44
_LAST_ACK_RECEIVED = 56
_NOT_SENT = 144
_UINT = struct.Struct("=I")
_INFO_BYTES = _NOT_SENT + _UINT.size
_LOG = logging.getLogger(__name__)


def option(seconds: float = SECONDS) -> tuple[int, int, int]:
    """Return level, name and value of the socket option for a time limit."""
    milliseconds = int(seconds * _MILLISECONDS_PER_SECOND)
    return socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds


class AcknowledgementTimeout:
    """Extends the kernel's time limit for an upstream that is alive but doesn't read.

    The kernel counts the time in which the peer's window is closed, though the peer
    acknowledges each probe of it.

    Parameters
    ----------
    raw : socket.socket
        TCP socket with `option` set.
    """

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw
        self._is_extended = False

    def extend_if_alive(self) -> None:
        """Extend the time limit if the peer has acknowledged all that it let be sent.

        From now on, the kernel breaks the connection after `SECONDS`, unless this is
        called again and the peer has acknowledged a probe.
        """
        info = self._read_info()
        if info is None or not _field(info, _NOT_SENT) or _field(info, _UNACKED):
            return
        if _field(info, _LAST_ACK_RECEIVED) >= SECONDS * _MILLISECONDS_PER_SECOND:
            return
        # The window isn't closed for longer than this.
        closed_seconds = _field(info, _LAST_DATA_SENT) / _MILLISECONDS_PER_SECOND
        self._raw.setsockopt(*option(closed_seconds + SECONDS))
        self._is_extended = True

    def restore(self) -> None:
        """Set the time limit back once the peer has read on."""
        if self._is_extended:
            self._is_extended = False
            self._raw.setsockopt(*option())

    def _read_info(self) -> bytes | None:
        """Return the kernel's state of the connection, None if it isn't available."""
        try:
            info = self._raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
            )
        except OSError as exc:
            _LOG.debug("the state of a connection is not available: %s", exc)
            return None
        return info if len(info) == _INFO_BYTES else None


def _field(info: bytes, offset: int) -> int:
    return _UINT.unpack_from(info, offset)[0]
