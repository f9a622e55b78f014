"""What is kept of an error after it has been handled."""

from typing import NamedTuple

from rattanlug.errors import error, executed, kind


class Failure(NamedTuple):
    """The content of an error, without its traceback.

    An error that is kept in a variable of a function that it has passed through is in
    a reference cycle with that function's frame. All that the frames in its traceback
    refer to, such as received bodies, then stays in memory until the next run of the
    collector.

    Attributes
    ----------
    error_type : type
    kind : kind.ErrorKind
    detail : str
        One sentence for the person who reads the response.
    executed : executed.Executed
        Whether the request was executed.
    retry_after : float or None
        Seconds after which a retry is useful.
    """

    error_type: type[error.RattanlugError]
    kind: kind.ErrorKind
    detail: str
    executed: executed.Executed
    retry_after: float | None = None

    def to_error(self) -> error.RattanlugError:
        """Return a new error with this content."""
        return self.error_type(self.kind, self.detail, self.executed, self.retry_after)


def of(exc: error.RattanlugError) -> Failure:
    """Return the content of an error."""
    response = exc.response
    return Failure(
        type(exc), exc.kind, exc.detail, response.executed, response.retry_after
    )


def drop_tracebacks(exc: BaseException) -> None:
    """Remove the tracebacks of a handled error and of the errors that led to it.

    A library may raise an error from one of the error's own methods, so that the error
    is in a reference cycle with the frame of that method from the beginning.
    """
    pending: list[BaseException | None] = [exc]
    while pending:
        each = pending.pop()
        if each is not None:
            each.__traceback__ = None
            pending += (each.__cause__, each.__context__)
