"""The exception tree."""

from rattanlug.errors import error_response, executed, kind


class RattanlugError(Exception):
    """Base of every error that rattanlug raises on purpose.

    Parameters
    ----------
    error_kind : kind.ErrorKind
        Entry of the closed list.
    detail : str
        One sentence for the person who reads the answer.
    executed_override : executed.Executed, optional
        Statement about execution when it differs from the table.
    retry_after : float, optional
        Seconds after which a repeat is useful, when it differs from the table.
    """

    def __init__(
        self,
        error_kind: kind.ErrorKind,
        detail: str,
        executed_override: executed.Executed | None = None,
        retry_after: float | None = None,
    ):
        super().__init__(detail)
        self._kind = error_kind
        self._detail = detail
        self._ran_override = executed_override
        self._retry_after = retry_after

    @property
    def kind(self) -> kind.ErrorKind:
        """Entry of the closed list."""
        return self._kind

    @property
    def detail(self) -> str:
        """One sentence for the person who reads the answer."""
        return self._detail

    @property
    def response(self) -> error_response.ErrorResponse:
        """Response of the table, with the overrides applied."""
        result = error_response.response_for(self._kind)
        if self._ran_override is not None:
            result = result._replace(executed=self._ran_override)
        if self._retry_after is not None:
            result = result._replace(retry_after=self._retry_after)
        return result


class RefusedError(RattanlugError):
    """The request was refused before any byte went to an upstream."""


class UpstreamError(RattanlugError):
    """An upstream failed after it may have received the request."""


class PlatformError(RattanlugError):
    """The platform could not be reached or did not answer in time."""


class ConflictError(RattanlugError):
    """A conditional write found another version than it expected."""


class InvalidInputError(RattanlugError):
    """Rules or settings that an operator wrote are not valid."""
