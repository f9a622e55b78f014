"""Step that sends the request to an upstream."""

from typing import NamedTuple


class SendRequest(NamedTuple):
    """Send the request once; the result is a ``send_result.SendResult``.

    Within this step, the request may be sent a second time only if the first upstream
    responded that it was not executed, or if no byte was sent. The result is then that
    of the second sending.
    """
