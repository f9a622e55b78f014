"""Opens endpoints that may not be available yet."""

import errno
import math
from collections.abc import Callable
from typing import TypeVar

import trio

from rattanlug.logs import state_log
from rattanlug.settings import address

RETRY_SECONDS = 0.1
# The previous process of a VM, or another program, may hold its ports, and a VM that
# boots may get its address after the process starts.
_UNAVAILABLE = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        # Descriptors or memory that other processes of the machine may release.
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)

Endpoint = TypeVar("Endpoint")


async def open_when_available(
    open_endpoint: Callable[[], Endpoint],
    local: address.Address,
    max_wait: float = math.inf,
) -> Endpoint:
    """Open an endpoint; wait while its address or the resources are not available.

    The wait has no limit by default: a process that ended would be started again, and
    would meet the same.

    Parameters
    ----------
    open_endpoint : callable
        Opens the endpoint, such as a listening socket.
    local : address.Address
        Address of the endpoint, for the log.
    max_wait : float, optional
        Time limit, seconds.

    Raises
    ------
    OSError
        The endpoint could not be opened, or not in time.
    """
    target = f"{local.host}:{local.port}"
    give_up_at = trio.current_time() + max_wait
    logged = None
    while True:
        try:
            endpoint = open_endpoint()
        except OSError as exc:
            if exc.errno not in _UNAVAILABLE or trio.current_time() >= give_up_at:
                raise
            reason = str(exc)
            state_log.log_change(
                "endpoint", logged, "unavailable", address=target, reason=reason
            )
            logged = "unavailable"
            await trio.sleep(RETRY_SECONDS)
            continue
        state_log.log_change(
            "endpoint", logged, "open" if logged else None, address=target
        )
        return endpoint
