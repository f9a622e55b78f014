"""Step that waits for the upstream after the caller got an error."""

from typing import NamedTuple


class AwaitAnswer(NamedTuple):
    """Wait for the upstream's response; the result is a ``send_result.SendResult``.

    The outcome is ``UNKNOWN`` at once if the connection was already closed.
    """
