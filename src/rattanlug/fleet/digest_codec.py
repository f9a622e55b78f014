"""Encodes and decodes the digests that VMs exchange as datagrams."""

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.fleet import digest, member, outcome_count
from rattanlug.fleet.generated import ttypes

PROTOCOL_VERSION = 1
_MILLISECONDS = 1000.0

# Maximum payload of a UDP datagram that the sockets accept.
MAX_BYTES = 8192

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
        outcomes=[ttypes.OutcomeCount(*each) for each in report.outcomes],
        reverted=list(report.reverted),
        passedOn=passed_on,
        overloaded=report.overloaded,
        hearsCentres=report.accepts_data_centre_digests,
        members=[_encode_member(each) for each in report.members] or None,
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
        EOFError,
        OverflowError,
        TypeError,
        ValueError,
    ) as exc:
        raise UnreadableDigestError(str(exc)) from exc


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
        host=message.host,
        port=message.port or 0,
        leaving=bool(message.leaving),
        state_version=message.stateVersion or 0,
        demand=dict(message.demand or {}),
        outcomes=tuple(
            outcome_count.OutcomeCount(
                each.serviceName,
                each.route,
                each.newGood or 0,
                each.newBad or 0,
                each.oldGood or 0,
                each.oldBad or 0,
            )
            for each in message.outcomes or ()
        ),
        reverted=tuple(message.reverted or ()),
        overloaded=bool(message.overloaded),
        accepts_data_centre_digests=bool(message.hearsCentres),
        members=tuple(_decode_member(each) for each in message.members or ()),
    )


def _encode_member(each: member.Member) -> ttypes.Member:
    *fields, age = each
    return ttypes.Member(*fields, int(age * _MILLISECONDS))


def _decode_member(message: ttypes.Member) -> member.Member:
    return member.Member(
        message.vm,
        int(message.incarnation),
        int(message.sequence),
        message.host,
        int(message.port),
        bool(message.leaving),
        bool(message.overloaded),
        message.ageMilliseconds / _MILLISECONDS,
    )
