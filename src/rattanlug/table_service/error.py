"""Errors of the platform client."""

from rattanlug.errors import error, kind
from rattanlug.table_service import row


class PlatformError(error.PlatformError):
    """The platform could not be reached, failed or did not answer in time.

    Parameters
    ----------
    detail : str
    maybe_applied : bool
        True when a write may have taken effect.
    status : int, optional
        HTTP status if the platform responded.
    """

    def __init__(self, detail: str, maybe_applied: bool, status: int | None = None):
        super().__init__(kind.ErrorKind.PLATFORM_UNAVAILABLE, detail)
        self._maybe_applied = maybe_applied
        self._status = status

    @property
    def maybe_applied(self) -> bool:
        """True when a write may have taken effect, now or later."""
        return self._maybe_applied

    @property
    def status(self) -> int | None:
        """HTTP status, or None when no response arrived."""
        return self._status


class ConflictError(error.ConflictError):
    """A row had another revision than the write expected; nothing was written.

    Parameters
    ----------
    index : int
        Position of the refused write in its transaction.
    winner : row.Row
        The row as it is now; revision 0 and value None when it is absent.
    """

    def __init__(self, index: int, winner: row.Row):
        super().__init__(
            kind.ErrorKind.VERSION_CONFLICT,
            f"row {winner.key} has revision {winner.revision}",
        )
        self._index = index
        self._row = winner

    @property
    def index(self) -> int:
        """Position of the refused write in its transaction."""
        return self._index

    @property
    def row(self) -> row.Row:
        """The row as it is now, after the write that won."""
        return self._row
