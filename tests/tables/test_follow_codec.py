"""Tests of the codec of the messages between a VM and its followers."""

import hypothesis
import pytest
from hypothesis import strategies

from rattanlug.tables import follow_codec, follow_messages, store_row

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
        ),
    ),
    1234.5,
    None,
)


def test_messages_are_unchanged_by_encoding_and_decoding():
    request = follow_messages.FollowRequest({"op": -1, "servers": 12}, 0.5)
    assert follow_codec.decode_request(follow_codec.encode_request(request)) == request
    for answer in (ANSWER, ANSWER._replace(store_failed=0.0)):
        encoded = follow_codec.encode_answer(answer)
        assert follow_codec.decode_answer(encoded) == answer


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
