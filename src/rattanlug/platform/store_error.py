"""Errors of the store client."""

from rattanlug.errors import error, kind


class StoreError(error.PlatformError):
    """The store did not give a usable response.

    Parameters
    ----------
    detail : str
    maybe_applied : bool
        Whether a write may have taken effect, or may still do so.
    """

    def __init__(self, detail: str, maybe_applied: bool = False) -> None:
        super().__init__(kind.ErrorKind.PLATFORM_UNAVAILABLE, detail)
        self._maybe_applied = maybe_applied

    @property
    def maybe_applied(self) -> bool:
        """Whether a write may have taken effect, or may still do so."""
        return self._maybe_applied


class HistoryLostError(StoreError):
    """The store no longer has the changes requested by a feed call."""


class ConditionFailedError(error.ConflictError):
    """A row did not have the expected version, so nothing was written."""

    def __init__(self, detail: str) -> None:
        super().__init__(kind.ErrorKind.VERSION_CONFLICT, detail)
