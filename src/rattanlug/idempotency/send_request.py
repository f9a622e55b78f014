"""The step that sends the request to an upstream."""

from typing import NamedTuple


class SendRequest(NamedTuple):
    """Send the request once; the result is a ``send_result.SendResult``.

    The adapter may send a second time within this step only after the first upstream
    answered "not run" or no byte was sent. The result then is that of the last send.
    """
