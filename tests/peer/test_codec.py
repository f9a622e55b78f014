"""Fuzz tests of messages and frames."""

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies as st
from thrift.Thrift import TType

from rattanlug.peer import codec, error, framing

_SCALARS = {
    TType.BOOL: st.booleans(),
    TType.I32: st.integers(-(2**31), 2**31 - 1),
    TType.I64: st.integers(-(2**63), 2**63 - 1),
    TType.DOUBLE: st.floats(allow_nan=False),
}


def _values(type_id, args):
    if type_id == TType.STRUCT:
        return _structs(args[0])
    if type_id == TType.LIST:
        return st.lists(_values(args[0], args[1]), max_size=3)
    if type_id == TType.MAP:
        return st.dictionaries(_values(args[0], args[1]), _values(args[2], args[3]))
    if type_id == TType.STRING:
        return st.binary(max_size=40) if args == "BINARY" else st.text(max_size=20)
    return _SCALARS[type_id]


def _structs(cls):
    fields = {spec[2]: _values(spec[1], spec[3]) for spec in cls.thrift_spec if spec}
    return st.builds(cls, **fields)


_MESSAGES = st.one_of([_structs(cls) for cls in codec._FIELD_OF_TYPE])


@pytest.fixture(params=["accelerated", "pure"], autouse=True)
def _protocol(request, monkeypatch):
    # Both implementations must read the same bytes: a VM may lack the C module.
    if request.param == "pure":
        monkeypatch.setattr(codec, "_FACTORY", codec.pure_python_factory())


_FUZZ = hypothesis.settings(
    max_examples=100,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


@_FUZZ
@hypothesis.given(_MESSAGES, st.integers(-(2**63), 2**63 - 1))
def test_every_message_survives_a_round_trip(message, id):
    # Fails if a field is lost or if two messages share an envelope field.
    result = codec.decode(codec.encode(id, "vm-1", message))
    assert result == (id, codec.PROTOCOL_VERSION, "vm-1", message)


@_FUZZ
@hypothesis.given(_MESSAGES, st.data())
def test_damaged_messages_raise_one_error_type(message, data):
    # Fails if damaged bytes raise another error than the one that closes connections.
    encoded = codec.encode(1, "vm-1", message)
    cut = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(error.MalformedMessageError):
        codec.decode(encoded[:cut])
    flipped = bytearray(encoded)
    flipped[cut] ^= data.draw(st.integers(1, 255))
    for damaged in (bytes(flipped), encoded + b"\x00"):
        try:
            codec.decode(damaged)
        except error.MalformedMessageError:
            pass


@_FUZZ
@hypothesis.given(st.binary(max_size=200))
def test_random_bytes_raise_one_error_type(data):
    # Fails if random bytes raise an error that would end the daemon.
    try:
        codec.decode(data)
    except error.MalformedMessageError:
        pass


@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        b"\x5c\x39\xfc\xff\xff\xff\xff\x07",
        b"\x5c" + b"\x1c" * 100_000,
        b"\x5c" + b"\x19" * 100_000,
    ],
    ids=["empty envelope", "list of 2**31", "nested structs", "nested lists"],
)
def test_hostile_sizes_are_rejected(data):
    # Fails if a short message can exhaust memory or the C stack.
    with pytest.raises(error.MalformedMessageError):
        codec.decode(data)


@_FUZZ
@hypothesis.given(
    st.lists(st.binary(max_size=300), max_size=5), st.integers(0, 40), st.data()
)
def test_frames_survive_any_split(frames, missing, data):
    # Fails if a frame that arrives in pieces, or with the next one, is misread.
    stream_bytes = b"".join(framing.frame(content) for content in frames)
    stream_bytes = stream_bytes[: len(stream_bytes) - missing]
    splits = data.draw(st.lists(st.integers(1, 50), min_size=1))

    class Stream:
        position = turn = 0

        async def receive_some(self, max_bytes):
            size = splits[self.turn % len(splits)]
            self.turn += 1
            chunk = stream_bytes[self.position : self.position + size]
            self.position += len(chunk)
            return chunk

    async def main():
        reader = framing.FrameReader(Stream())
        received = []
        try:
            while (content := await reader.receive()) is not None:
                received.append(content)
        except error.MalformedMessageError:
            assert missing
        return received

    received = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert received == frames[: len(received)]
    assert missing or received == frames


def test_oversized_frames_are_rejected():
    # Fails if one peer can make another buffer a frame of more than 1 MiB.
    with pytest.raises(ValueError, match="exceeds"):
        framing.frame(bytes(framing.MAX_FRAME_BYTES + 1))


# Guards against a peer that keeps the event loop from all other work by sending many
# small frames, such as responses to no call.
def test_each_frame_is_a_checkpoint():
    class Stream:
        async def receive_some(self, max_bytes):
            await trio.lowlevel.checkpoint()
            return framing.frame(b"x") * 3

    async def main():
        reader = framing.FrameReader(Stream())
        for _ in range(3):
            with trio.testing.assert_checkpoints():
                assert await reader.receive() == b"x"

    trio.run(main)
