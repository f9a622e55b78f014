"""Encodes and decodes the digests that VMs exchange as datagrams."""

import math

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.fleet import digest, member, outcome_count
from rattanlug.fleet.generated import ttypes
from rattanlug.settings import address

PROTOCOL_VERSION = 1
_MILLISECONDS = 1000.0

# Maximum payload of a UDP datagram that the sockets accept.
MAX_BYTES = 8192
# Counts are 32-bit numbers in the messages.
_MAX_COUNT = 2**31 - 1

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=1024, container_length_limit=4096
)


class UnreadableDigestError(ValueError):
    """A datagram isn't a valid digest of this protocol version."""


def encode(report: digest.Digest, passed_on: bool = False) -> bytes:
    """Encode a digest.

    Parameters
    ----------
    report : digest.Digest
    passed_on : bool
        Whether this VM forwards the digest of another one.
    """
    message = ttypes.Digest(
        protocolVersion=PROTOCOL_VERSION,
        vm=report.vm,
        incarnation=report.incarnation,
        sequence=report.sequence,
        dataCentre=report.data_centre,
        host=report.host,
        port=report.port,
        leaving=report.leaving,
        stateVersion=report.state_version,
        demand=dict(report.demand),
        outcomes=[_encode_outcome(each) for each in report.outcomes],
        reverted=list(report.reverted),
        passedOn=passed_on,
        overloaded=report.overloaded,
        hearsCentres=report.accepts_data_centre_digests,
        members=[_encode_member(each) for each in report.members] or None,
        storeEra=report.store_era or None,
    )
    buffer = TTransport.TMemoryBuffer()
    message.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode(data: bytes) -> tuple[digest.Digest, bool]:
    """Decode a digest; the second value tells whether another VM forwarded it.

    Raises
    ------
    UnreadableDigestError
    """
    message = ttypes.Digest()
    try:
        message.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
        return _validate(message), bool(message.passedOn)
    except (
        Thrift.TException,
        AssertionError,
        EOFError,
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        raise UnreadableDigestError(f"{type(exc).__name__}: {exc}") from exc


def _validate(message: ttypes.Digest) -> digest.Digest:
    if message.protocolVersion != PROTOCOL_VERSION:
        raise UnreadableDigestError("unsupported protocol version")
    texts = (message.vm, message.dataCentre, message.host)
    if not all(texts) or message.incarnation is None or message.sequence is None:
        raise UnreadableDigestError(
            "missing vm, dataCentre, host, incarnation or sequence"
        )
    return digest.Digest(
        vm=message.vm,
        incarnation=message.incarnation,
        sequence=message.sequence,
        data_centre=message.dataCentre,
        host=_host(message.host),
        port=_port(message.port),
        leaving=bool(message.leaving),
        state_version=message.stateVersion or 0,
        demand={
            name: _non_negative(rate) for name, rate in (message.demand or {}).items()
        },
        outcomes=tuple(_decode_outcome(each) for each in message.outcomes or ()),
        reverted=tuple(message.reverted or ()),
        overloaded=bool(message.overloaded),
        accepts_data_centre_digests=bool(message.hearsCentres),
        members=tuple(_decode_member(each) for each in message.members or ()),
        store_era=message.storeEra or 0,
    )


def _host(text: str) -> str:
    return address.parse_host(text)


def _port(number: int) -> int:
    if not 1 <= number <= address.MAX_PORT:
        raise UnreadableDigestError("the port is out of range")
    return number


def _non_negative(number: float) -> float:
    if not (math.isfinite(number) and number >= 0):
        raise UnreadableDigestError("a number is negative or not finite")
    return number


def _encode_outcome(each: outcome_count.OutcomeCount) -> ttypes.OutcomeCount:
    service, route, *counts = each
    # The counts of a data centre are sums of those of its VMs.
    return ttypes.OutcomeCount(
        service, route, *(min(count, _MAX_COUNT) for count in counts)
    )


def _decode_outcome(message: ttypes.OutcomeCount) -> outcome_count.OutcomeCount:
    counts = (message.newGood, message.newBad, message.oldGood, message.oldBad)
    return outcome_count.OutcomeCount(
        message.serviceName or "",
        message.route or "",
        *(_non_negative(count or 0) for count in counts),
    )


def _encode_member(each: member.Member) -> ttypes.Member:
    *fields, age = each
    return ttypes.Member(*fields, int(age * _MILLISECONDS))


def _decode_member(message: ttypes.Member) -> member.Member:
    if not message.vm:
        raise UnreadableDigestError("a member has no name")
    return member.Member(
        message.vm,
        int(message.incarnation),
        int(message.sequence),
        _host(message.host),
        _port(message.port),
        bool(message.leaving),
        bool(message.overloaded),
        _non_negative(message.ageMilliseconds) / _MILLISECONDS,
    )
