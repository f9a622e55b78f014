"""Tests of datagrams that are no valid digest or have values out of range."""

import hypothesis
import pytest
from hypothesis import strategies
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.fleet import digest, digest_codec, member, outcome_count
from rattanlug.fleet.generated import ttypes

OUTCOME = outcome_count.OutcomeCount("s", "r", 1, 2, 3, 4)
MEMBER = member.Member("b", 1, 1, "10.0.0.2", 80, False, False, 0.5)
REPORT = digest.Digest(
    vm="a",
    incarnation=1,
    sequence=1,
    data_centre="d1",
    host="10.0.0.1",
    port=80,
    leaving=False,
    state_version=7,
    demand={"o": 1.5},
    outcomes=(OUTCOME,),
    reverted=(9,),
    members=(MEMBER,),
)
# A field of structures that contain each other; their types follow the header.
NESTED = b"\x0c\x90\x03" + b"\x1c" * 8000


@pytest.fixture(params=["accelerated", "python"])
def protocol(request, monkeypatch):
    """Use the compiled or the pure Python reader of the library."""
    if request.param == "python":
        factory = TCompactProtocol.TCompactProtocolFactory(
            string_length_limit=1024, container_length_limit=4096
        )
        monkeypatch.setattr(digest_codec, "_FACTORY", factory)


def encode_message(**changes):
    """Return a datagram with fields that ``digest_codec.encode`` never writes."""
    message = ttypes.Digest()
    transport = TTransport.TMemoryBuffer(digest_codec.encode(REPORT))
    message.read(TCompactProtocol.TCompactProtocol(transport))
    for name, value in changes.items():
        setattr(message, name, value)
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocol(buffer))
    return buffer.getvalue()


def test_a_valid_message_is_decoded(protocol):
    assert digest_codec.decode(encode_message()) == (REPORT, False)


# Guards against one datagram that ends a VM: a host that is no address makes sending to
# it fail, and a rate that is no number spreads to the shares of all VMs.
@pytest.mark.parametrize(
    "changes",
    [
        {"host": "vm.example"},
        {"host": "10.0.0.1\0"},
        {"host": "fe80::1%a\0"},
        {"port": 0},
        {"port": 65536},
        {"port": -1},
        {"port": None},
        {"demand": {"o": float("nan")}},
        {"demand": {"o": float("inf")}},
        {"demand": {"o": -1.0}},
        {"outcomes": [ttypes.OutcomeCount("s", "r", -1, 0, 0, 0)]},
        {"members": [ttypes.Member(None, 1, 1, "10.0.0.2", 80, False, False, 1)]},
        {"members": [ttypes.Member("b", 1, 1, "b", 80, False, False, 1)]},
        {"members": [ttypes.Member("b", 1, 1, "::1%..", 80, False, False, 1)]},
        {"members": [ttypes.Member("b", 1, 1, "10.0.0.2", 0, False, False, 1)]},
        {"members": [ttypes.Member("b", 1, 1, "10.0.0.2", 80, False, False, -1)]},
        {"members": [ttypes.Member("b", None, 1, "10.0.0.2", 80, False, False, 1)]},
    ],
    ids=str,
)
def test_values_out_of_range_are_rejected(protocol, changes):
    with pytest.raises(digest_codec.UnreadableDigestError):
        digest_codec.decode(encode_message(**changes))


def test_nested_structures_are_rejected(protocol):
    with pytest.raises(digest_codec.UnreadableDigestError):
        digest_codec.decode(NESTED)


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(strategies.binary(max_size=200), strategies.integers(0, 120))
def test_no_datagram_raises_another_error(protocol, data, position):
    valid = digest_codec.encode(REPORT)
    for each in (data, valid[:position] + data + valid[position + len(data) :]):
        try:
            digest_codec.decode(each)
        except digest_codec.UnreadableDigestError:
            continue


# Guards against sums that do not fit into a message, which ended the sender.
def test_large_counts_are_limited():
    large = outcome_count.OutcomeCount("s", "r", 2**31, 2**40, 0, 1)
    data = digest_codec.encode(REPORT._replace(outcomes=(large,)))
    (found,) = digest_codec.decode(data)[0].outcomes
    assert found == outcome_count.OutcomeCount("s", "r", 2**31 - 1, 2**31 - 1, 0, 1)
