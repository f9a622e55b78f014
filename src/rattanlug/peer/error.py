"""Errors of calls between daemons."""


class PeerError(Exception):
    """Base class of the errors of calls to other daemons."""


class PeerUnreachableError(PeerError):
    """No connection, or the connection ended before the response arrived."""


class PeerTimeoutError(PeerError):
    """The response did not arrive in time; the peer may have handled the request."""


class PeerBusyError(PeerError):
    """The limit on calls in flight is reached; nothing was sent."""


class PeerRefusedError(PeerError):
    """The peer answered with a failure.

    Parameters
    ----------
    kind : str
        Value of an error kind, or empty for a fault of the peer.
    detail : str
    """

    def __init__(self, kind: str, detail: str):
        super().__init__(detail)
        self._kind = kind

    @property
    def kind(self) -> str:
        """Value of an error kind, or empty for a fault of the peer."""
        return self._kind


class MalformedMessageError(PeerError):
    """A frame or its content does not follow the protocol."""
