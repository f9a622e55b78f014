"""Decodes the rows by which upstreams register."""

from rattanlug.discovery import upstream_record
from rattanlug.platform import decoding

_STATES = frozenset({"ready", "draining"})


def decode(key: str, data: bytes) -> upstream_record.UpstreamRecord:
    """Decode one row.

    Raises
    ------
    decoding.UnreadableError
        When the row names no upstream to use, for instance since another writer
        made it.
    """
    found = decoding.json_object(data)
    info = decoding.field(found, "info", dict)
    status = decoding.field(found, "status", dict)
    state = decoding.field(status, "state", str)
    if state not in _STATES:
        raise decoding.UnreadableError(f"{state!r} is no state")
    host, _, port = decoding.field(found, "address", str).rpartition(":")
    slots = decoding.field(info, "capacity", int)
    if not host or not port.isdigit() or not key or slots < 1:
        raise decoding.UnreadableError("the address, the id or the slots are wrong")
    return upstream_record.UpstreamRecord(
        id=key,
        incarnation=_start(found),
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


def _start(found: dict) -> int:
    # The Unix millisecond of the start; absent where starts are not told apart.
    if found.get("born") is None:
        return 0
    return decoding.field(found, "born", int)
