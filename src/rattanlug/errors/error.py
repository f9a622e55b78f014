"""Exception hierarchy."""

from rattanlug.errors import error_response, executed, kind


class RattanlugError(Exception):
    """Base class of the errors that rattanlug defines.

    Parameters
    ----------
    error_kind : kind.ErrorKind
        Kind of the error.
    detail : str
        One sentence for the person who reads the response.
    executed_override : executed.Executed, optional
        Whether the request was executed, if it differs from the default of the kind.
    retry_after : float, optional
        Seconds after which a retry is useful, if it differs from the default.
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
        self._executed_override = executed_override
        self._retry_after = retry_after

    @property
    def kind(self) -> kind.ErrorKind:
        """Kind of the error."""
        return self._kind

    @property
    def detail(self) -> str:
        """One sentence for the person who reads the response."""
        return self._detail

    @property
    def response(self) -> error_response.ErrorResponse:
        """HTTP response for the kind, with the overrides of this error."""
        result = error_response.response_for(self._kind)
        if self._executed_override is not None:
            result = result._replace(executed=self._executed_override)
        if self._retry_after is not None:
            result = result._replace(retry_after=self._retry_after)
        return result


class RefusedError(RattanlugError):
    """The request was rejected before anything was sent to an upstream."""


class UpstreamError(RattanlugError):
    """An upstream failed after it may have received the request."""


class NotSentError(UpstreamError):
    """Nothing was sent to an upstream, which did not fail; another one may serve."""


class PlatformError(RattanlugError):
    """The platform could not be reached or did not answer in time."""


class ConflictError(RattanlugError):
    """A conditional write found a version other than the expected one."""


class InvalidInputError(RattanlugError):
    """Rules or settings that an operator wrote are not valid."""
