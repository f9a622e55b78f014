"""What the headers of an upstream's answer say."""

from typing import NamedTuple

from rattanlug.platform import names

Headers = list[tuple[bytes, bytes]]

_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        names.UPSTREAM_LOAD,
        names.NOT_EXECUTED,
    }
)


class ResponseHeaders(NamedTuple):
    """Decoded headers of an answer.

    Attributes
    ----------
    not_executed : bool
        The upstream states that it did not run the request.
    misdirected : bool
        The address belongs to another upstream now.
    busy : int or None
        Requests that run or wait at the upstream, None when it does not say.
    leaving : bool
        The upstream closes its connections.
    idle_seconds : float or None
        How long the upstream keeps an idle connection.
    """

    not_executed: bool
    misdirected: bool
    busy: int | None
    leaving: bool
    idle_seconds: float | None


def decode(status: int, headers: Headers) -> ResponseHeaders:
    """Decode status and headers of an answer; names are in lower case."""
    found = dict(headers)
    misdirected = status == names.MISDIRECTED and names.SERVER_STAMP not in found
    return ResponseHeaders(
        not_executed=names.NOT_EXECUTED in found or misdirected,
        misdirected=misdirected,
        busy=_busy(found.get(names.UPSTREAM_LOAD)),
        leaving=b"close" in found.get(b"connection", b"").lower(),
        idle_seconds=_idle_seconds(found.get(b"keep-alive", b"")),
    )


def forwarded(headers: Headers, body_length: int) -> Headers:
    """Return the headers of an answer that its caller gets."""
    result = [(name, value) for name, value in headers if name not in _NOT_FORWARDED]
    result.append((b"content-length", str(body_length).encode()))
    return result


def _busy(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        running, waiting, *_ = (int(each) for each in value.split(b","))
    except ValueError:
        return None
    return max(0, running) + max(0, waiting)


def _idle_seconds(value: bytes) -> float | None:
    for each in value.split(b","):
        name, _, seconds = each.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
