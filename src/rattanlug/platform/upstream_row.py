"""Decodes the registration rows of upstreams."""

import ipaddress
import re

from rattanlug.discovery import upstream_record
from rattanlug.platform import decoding
from rattanlug.settings import address

_STATES = frozenset({"ready", "draining"})
# A request that runs occupies a connection, and thereby a port.
_MAX_SLOTS = address.MAX_PORT
# An id is sent in a header.
_ID = re.compile(r"[!-~]+")


def decode(key: str, data: bytes) -> upstream_record.UpstreamRecord:
    """Decode the registration row of one upstream; the key is its id.

    Raises
    ------
    decoding.MalformedValueError
        When the row is not a valid registration, for instance because something
        other than an upstream wrote it.
    """
    found = decoding.json_object(data)
    info = decoding.field(found, "info", dict)
    status = decoding.field(found, "status", dict)
    state = decoding.field(status, "state", str)
    if state not in _STATES:
        raise decoding.MalformedValueError(f"{state!r} is not a valid state")
    target = _address(decoding.field(found, "address", str))
    slots = decoding.field(info, "capacity", int)
    if not 1 <= slots <= _MAX_SLOTS:
        raise decoding.MalformedValueError("the capacity is out of range")
    if not _ID.fullmatch(key):
        raise decoding.MalformedValueError("the id cannot be sent in a header")
    return upstream_record.UpstreamRecord(
        id=key,
        incarnation=_start_time(found),
        sequence=decoding.field(status, "sequence", int),
        service=decoding.field(info, "service", str),
        version=decoding.field(info, "version", str),
        host=target.host,
        port=target.port,
        data_centre=decoding.field(info, "zone", str),
        slots=slots,
        leaving=state == "draining",
        cold_seconds=max(0.0, decoding.number(status, "warmup_left_s", 0.0)),
    )


def _address(text: str) -> address.Address:
    try:
        target = address.parse(text)
    except ValueError as exc:
        raise decoding.MalformedValueError(f"the address is invalid: {exc}") from exc
    ip = ipaddress.ip_address(target.host)
    if ip.is_unspecified or ip.is_multicast:
        raise decoding.MalformedValueError("the address is not that of one VM")
    return target


def _start_time(found: dict) -> int:
    # Start time, Unix milliseconds; absent if the upstream does not report its starts.
    if found.get("born") is None:
        return 0
    return decoding.field(found, "born", int)
