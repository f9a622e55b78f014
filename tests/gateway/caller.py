"""Requests of callers in tests of the entry daemon."""

import functools
import itertools

import trio

from trial import http_client
from trial.shared_platform import fleet

_NUMBERS = itertools.count(1)
_LIMIT_SECONDS = 20


def in_trio(function):
    """Run an async test with a time limit."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        async def limited():
            with trio.fail_after(_LIMIT_SECONDS):
                await function(*args, **kwargs)

        trio.run(limited)

    return wrapper


async def send(parts, path, method="GET", data=None, key=fleet.KEY, **headers):
    """Send a request to a daemon; return its id and the answer."""
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
    local = parts.node.settings.callers
    answer = await http_client.request(
        local.host, local.port, method, path, data, headers=sent
    )
    return request_id, answer


async def ask(local, target):
    """Send a request to one of the daemon's own listeners."""
    return await http_client.request(local.host, local.port, "GET", target)


def runs(deployment, request_id):
    """Return the executions of a request over all upstreams."""
    return [
        run
        for each in deployment.upstreams.values()
        for run in each.executions
        if run.request_id == request_id
    ]


def encode(path, request_id, method="GET", milliseconds=2000):
    """Return the bytes of a request with a key."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"Rattanlug-Request-Id: {request_id}",
        f"Rattanlug-Deadline-Ms: {milliseconds}",
        f"Authorization: Token {fleet.KEY}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
