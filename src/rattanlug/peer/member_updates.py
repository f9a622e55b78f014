"""Converts membership updates to and from their form on the wire."""

import math

from rattanlug.membership import member, member_state, update
from rattanlug.peer.generated import ttypes

_MAX_AGE_MS = ttypes.MemberUpdate().age_ms
_STATES = {int(value): value for value in member_state.MemberState}


def to_wire(member_update: update.Update) -> ttypes.MemberUpdate:
    """Return the struct for one update."""
    message = ttypes.MemberUpdate(
        member_update.vm, member_update.incarnation, age_to_ms(member_update.age)
    )
    if member_update.suspect:
        message.suspect = True
    record = member_update.record
    if record is not None:
        message.state = int(record.state)
        message.data_centre = record.data_centre
        message.host, message.port = record.address
        peer_host, message.peer_port = record.peer_address
        if peer_host != message.host:
            message.peer_host = peer_host
        message.protocol_version = record.protocol_version
        message.config_version = record.config_version
    return message


def from_wire(message: ttypes.MemberUpdate) -> update.Update | None:
    """Return one update, or None if the struct is invalid."""
    age = ms_to_age(message.age_ms)
    if not message.vm or age < 0:
        return None
    if message.suspect:
        return update.Update(message.vm, message.incarnation, age, suspect=True)
    new_state = _STATES.get(message.state)
    if (
        new_state is None
        or not message.data_centre
        or not message.host
        or not 1 <= (message.port or 0) <= 65535
        or not 1 <= (message.peer_port or 0) <= 65535
    ):
        return None
    record = member.Member(
        message.vm,
        message.data_centre,
        (message.host, message.port),
        (message.peer_host or message.host, message.peer_port),
        message.incarnation,
        new_state,
        message.config_version or 0,
        protocol_version=message.protocol_version or 0,
    )
    return update.Update(message.vm, message.incarnation, age, record=record)


def age_to_ms(age: float) -> int:
    """Return seconds as milliseconds, rounded up and limited to "unknown"."""
    if not age < _MAX_AGE_MS / 1000:
        return _MAX_AGE_MS
    return max(0, math.ceil(age * 1000))


def ms_to_age(age_ms: int) -> float:
    """Return milliseconds as seconds, infinity for "unknown"."""
    return math.inf if age_ms == _MAX_AGE_MS else age_ms / 1000
