"""The step that waits for an answer after the caller has gone."""

from typing import NamedTuple


class AwaitAnswer(NamedTuple):
    """Wait for the upstream; the result is a ``send_result.SendResult``.

    An adapter that has closed the connection returns ``UNKNOWN`` at once.
    """
