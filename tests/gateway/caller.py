"""Callers' requests in tests of the gateway daemon."""

import functools
import itertools
import pathlib

import trio

from trial import http_client
from trial.shared_platform import fleet

_NUMBERS = itertools.count(1)
_LIMIT_SECONDS = 20
_SCHEDULER_STATISTICS = pathlib.Path("/proc/thread-self/schedstat")
_NANOSECONDS = 1e9


def in_trio(function):
    """Run an async test with a time limit."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        async def limited():
            with trio.fail_after(_LIMIT_SECONDS):
                await function(*args, **kwargs)

        trio.run(limited)

    return wrapper


async def send(
    daemon, path, method="GET", data=None, key=fleet.KEY, timeout=5.0, **headers
):
    """Send a request to a daemon; return the request id and the response."""
    request_id = f"request-{next(_NUMBERS)}"
    sent = {
        "Host": fleet.HOST,
        "Rattanlug-Request-Id": request_id,
        "Rattanlug-Deadline-Ms": "2000",
        "Cookie": "Rattanlug-Affinity-Key=7",
    }
    if key is not None:
        sent["Authorization"] = f"Token {key}"
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    local = daemon.node.settings.callers
    response = await http_client.request(
        local.host, local.port, method, path, data, headers=sent, timeout=timeout
    )
    return request_id, response


async def get(local, target):
    """Send a GET request to one of the daemon's internal listeners."""
    return await http_client.request(local.host, local.port, "GET", target)


def unscheduled_seconds():
    """Return how long this thread has waited for a processor since its start.

    The daemons of a test share its thread. 0 where the system doesn't tell.
    """
    try:
        text = _SCHEDULER_STATISTICS.read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) / _NANOSECONDS


def executions(deployment, request_id):
    """Return the executions of a request at all upstreams."""
    return [
        execution
        for each in deployment.upstreams.values()
        for execution in each.executions
        if execution.request_id == request_id
    ]


def encode(path, request_id, method="GET", milliseconds=2000):
    """Return the bytes of a request with a valid key."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"Rattanlug-Request-Id: {request_id}",
        f"Rattanlug-Deadline-Ms: {milliseconds}",
        f"Authorization: Token {fleet.KEY}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
