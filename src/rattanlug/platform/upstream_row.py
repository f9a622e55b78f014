"""Decodes the registration rows of upstreams."""

from rattanlug.discovery import upstream_record
from rattanlug.platform import decoding

_STATES = frozenset({"ready", "draining"})


def decode(key: str, data: bytes) -> upstream_record.UpstreamRecord:
    """Decode one row.

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
    host, _, port = decoding.field(found, "address", str).rpartition(":")
    slots = decoding.field(info, "capacity", int)
    if not host or not port.isdigit() or not key or slots < 1:
        raise decoding.MalformedValueError(
            "the address, the id or the capacity is invalid"
        )
    return upstream_record.UpstreamRecord(
        id=key,
        incarnation=_start_time(found),
        sequence=decoding.field(status, "sequence", int),
        service=decoding.field(info, "service", str),
        version=decoding.field(info, "version", str),
        host=host,
        port=int(port),
        data_centre=decoding.field(info, "zone", str),
        slots=slots,
        leaving=state == "draining",
        cold_seconds=max(0.0, decoding.number(status, "warmup_left_s", 0.0)),
    )


def _start_time(found: dict) -> int:
    # Start time, Unix milliseconds; absent if the upstream does not report its starts.
    if found.get("born") is None:
        return 0
    return decoding.field(found, "born", int)
