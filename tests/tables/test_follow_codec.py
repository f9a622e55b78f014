"""Tests of the codec of the messages between a VM and its followers."""

import hypothesis
import pytest
from hypothesis import strategies
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.tables import follow_codec, follow_messages, store_row
from rattanlug.tables.generated import ttypes

ANSWER = follow_messages.FollowAnswer(
    (
        follow_messages.Changes(
            "op",
            True,
            (
                store_row.StoreRow("config", bytes(range(256)), 7),
                store_row.StoreRow("evacuate/x", b"", 8, removed=True),
            ),
            9,
            0.25,
            3,
        ),
    ),
    1234.5,
    None,
)


def test_messages_are_unchanged_by_encoding_and_decoding():
    versions = {"op": -1, "servers": 12}
    for eras in (None, {}, {"op": 0, "servers": 3}):
        request = follow_messages.FollowRequest(versions, 0.5, eras)
        encoded = follow_codec.encode_request(request)
        assert follow_codec.decode_request(encoded) == request
    for answer in (ANSWER, ANSWER._replace(store_failed=0.0)):
        encoded = follow_codec.encode_answer(answer)
        assert follow_codec.decode_answer(encoded) == answer


# Guards against VMs of two releases that can't follow each other.
def test_a_message_without_eras_is_read(protocol):
    (changes,) = follow_codec.decode_answer(encode_message()).tables
    assert changes.era == 0


# These fields have numbers that the release before skips.
def test_eras_have_field_numbers_of_their_own():
    assert [each and each[2] for each in ttypes.Changes.thrift_spec] == [
        *(None, "table", "whole", "rows", "version", "ageSeconds", "era")
    ]
    assert [each and each[2] for each in ttypes.FollowRequest.thrift_spec] == [
        *(None, "protocolVersion", "versions", "waitMilliseconds", "eras")
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_invalid_data_raises_no_other_error(data):
    for decode in (follow_codec.decode_request, follow_codec.decode_answer):
        try:
            decode(data)
        except follow_codec.UnreadableMessageError:
            continue


@pytest.mark.parametrize("length", range(0, 120, 7))
def test_a_truncated_message_is_rejected(length):
    encoded = follow_codec.encode_answer(ANSWER)
    with pytest.raises(follow_codec.UnreadableMessageError):
        follow_codec.decode_answer(encoded[:length])


def test_another_protocol_version_is_rejected(monkeypatch):
    monkeypatch.setattr(follow_codec, "PROTOCOL_VERSION", 2)
    encoded = follow_codec.encode_answer(ANSWER)
    monkeypatch.undo()
    with pytest.raises(follow_codec.UnreadableMessageError):
        follow_codec.decode_answer(encoded)


@pytest.fixture(params=["accelerated", "python"])
def protocol(request, monkeypatch):
    """Use the compiled or the pure Python reader of the library."""
    if request.param == "python":
        monkeypatch.setattr(
            follow_codec, "_FACTORY", TCompactProtocol.TCompactProtocolFactory()
        )


def encode_message(**changes):
    """Return a response with values that ``encode_answer`` never writes."""
    row = ttypes.Row(changes.pop("key", "config"), b"x", 7, False)
    table = changes.pop("table", "op")
    age = changes.pop("age", 0.5)
    message = ttypes.FollowAnswer(
        protocolVersion=follow_codec.PROTOCOL_VERSION,
        tables=[ttypes.Changes(table, True, [row], 9, age)],
        storeClock=changes.pop("clock", 1.0),
        storeFailedSeconds=changes.pop("failed", -1.0),
    )
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocol(buffer))
    return buffer.getvalue()


# Guards against a response that ends the follower, or makes its keys count as fresh
# for good.
@pytest.mark.parametrize(
    "changes",
    [
        {"key": None},
        {"table": None},
        {"age": float("nan")},
        {"age": float("-inf")},
        {"clock": float("nan")},
        {"failed": float("nan")},
    ],
    ids=str,
)
def test_responses_with_values_out_of_range_are_rejected(protocol, changes):
    with pytest.raises(follow_codec.UnreadableMessageError):
        follow_codec.decode_answer(encode_message(**changes))


def test_a_negative_age_counts_as_none(protocol):
    (found,) = follow_codec.decode_answer(encode_message(age=-5.0)).tables
    assert found.age == 0.0


def test_nested_structures_are_rejected(protocol):
    for decode in (follow_codec.decode_request, follow_codec.decode_answer):
        with pytest.raises(follow_codec.UnreadableMessageError):
            decode(b"\x0c\x90\x03" + b"\x1c" * 100_000)
