"""A platform that sends bytes without end."""

import contextlib
import functools

import pytest
import trio

from rattanlug.settings import address
from rattanlug.table_service import client, error
from trial.shared_platform import endless_response

_HOST = "127.0.0.1"


# Guards against a faulty platform that exhausts a VM's memory with one response, or
# keeps its event loop from all other work with chunks of a few bytes.
@pytest.mark.parametrize("form", endless_response.FORMS)
def test_bytes_without_end_are_given_up(form):
    found = endless_response.FORMS[form]
    sent = 0

    async def serve(stream):
        nonlocal sent
        async with stream:
            await stream.receive_some(65536)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(found.head(200, "x"))
                while True:
                    sent += len(found.block)
                    await stream.send_all(found.block)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=_HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            platform = client.PlatformClient(address.Address(_HOST, port), _HOST)
            # The call must end because of the number of bytes, not by its timeout.
            with pytest.raises(error.PlatformError, match="too large|failed"):
                await platform.scan("t", "", timeout=2.0)
            await platform.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    # Twice the limit, to allow for the kernel's buffers.
    assert sent <= 2 * client.MAX_RESPONSE_BYTES
