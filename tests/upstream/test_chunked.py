"""Tests of merging the chunks of a body."""

import random

import h11
import httpcore
import pytest

from rattanlug.upstream import chunked

BODY = b"5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\n\r\n"
MERGED = b"8\r\nhelloabc\r\n0\r\n\r\n"
_LIMIT = 1 << 20


def merge(data, sizes=()):
    """Return the merger and all that it passes on of data in parts of these sizes."""
    merger, passed_on, position = chunked.ChunkMerger(_LIMIT), b"", 0
    for size in (*sizes, len(data)):
        passed_on += merger.feed(data[position : position + size])
        position += size
    return merger, passed_on


def decode(data):
    """Return the content of a chunked body by the HTTP library; None if it is wrong."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    connection.send(h11.EndOfMessage())
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    content = b""
    try:
        connection.receive_data(head + data)
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                content += event.data
    except h11.RemoteProtocolError:
        return None
    return content


def test_chunks_that_arrive_together_become_one():
    merger, passed_on = merge(BODY)
    assert passed_on == MERGED
    assert merger.has_clean_end


@pytest.mark.parametrize("position", range(len(BODY)))
def test_chunks_may_arrive_in_parts(position):
    merger, passed_on = merge(BODY, [position])
    assert decode(passed_on) == b"helloabc"
    assert merger.has_clean_end


def test_chunks_may_arrive_byte_by_byte():
    merger, passed_on = merge(BODY, [1] * len(BODY))
    assert decode(passed_on) == b"helloabc"
    assert merger.has_clean_end


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\n", b"0", b"\r\n"])
def test_bytes_after_the_body_are_noticed(extra):
    for sizes in ([], [len(BODY)]):
        merger, passed_on = merge(BODY + extra, sizes)
        assert passed_on == MERGED
        assert not merger.has_clean_end


@pytest.mark.parametrize("data", [b"", b"5", b"5\r\nhel", BODY[:-1], BODY[:-3]])
def test_an_incomplete_body_has_no_end(data):
    merger, passed_on = merge(data)
    assert not merger.has_clean_end
    assert decode(passed_on) is None


def test_trailers_are_passed_on():
    merger, passed_on = merge(b"0\r\nX: 1\r\n\r\n", [4])
    assert passed_on == b"0\r\nX: 1\r\n\r\n"
    assert not merger.has_clean_end


@pytest.mark.parametrize(
    "data",
    [
        b"z\r\n",
        b"\x00\xff junk",
        b"-1\r\n",
        b"+1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b" 1\r\nx\r\n",
        b"1\nx\r\n",
        b"1\r\nxx\r\n",
        b"1\r\nx\n",
        b"\r\n",
        b"1" * 21,
        b"1;" + b"x" * chunked.MAX_SIZE_LINE_BYTES,
        b"100001\r\n",
        b"f" * 20 + b"\r\n",
    ],
)
def test_malformed_chunks_are_rejected(data):
    with pytest.raises(httpcore.RemoteProtocolError):
        merge(data)


# Guards against a body in tiny chunks that blocks the event loop: the HTTP library
# takes about as long for a chunk of one byte as for one of some kilobytes.
def test_tiny_chunks_that_arrive_together_become_one():
    _, passed_on = merge(b"7\r\ndata: x\r\n" * 1000)
    assert passed_on == b"%x\r\n%b\r\n" % (7000, b"data: x" * 1000)


@pytest.mark.parametrize("size", [1, 7, 15])
def test_tiny_chunks_without_end_are_rejected(size):
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    merger = chunked.ChunkMerger(_LIMIT)
    with pytest.raises(httpcore.RemoteProtocolError):
        for _ in range(100 * chunked.MAX_SMALL_CHUNKS):
            merger.feed(chunk)


@pytest.mark.parametrize("size, is_large", [(1, False), (1024, False), (1100, True)])
def test_large_chunks_are_told_from_small_ones(size, is_large):
    merger = chunked.ChunkMerger(_LIMIT)
    assert not merger.has_large_chunks
    for _ in range(3):
        merger.feed(b"%x\r\n%b\r\n" % (size, b"x" * size))
        assert merger.has_large_chunks == is_large
    # A chunk of which most is still to come.
    merger.feed(b"ffff\r\n")
    assert not merger.has_large_chunks


# Guards against a body that consists of the extensions of its chunks.
def test_the_extensions_of_chunks_are_limited():
    chunk = b"1;" + b"x" * 219 + b"\r\nx\r\n"
    assert len(chunk.partition(b"\r\n")[0]) <= chunked.MAX_SIZE_LINE_BYTES
    _, passed_on = merge(chunk * 3)
    assert passed_on == b"3\r\nxxx\r\n"
    with pytest.raises(httpcore.RemoteProtocolError):
        merge(chunk.replace(b";", b";x"))


def test_a_long_body_may_have_many_chunks():
    size = chunked.BYTES_PER_FURTHER_CHUNK
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    merger, _ = merge(chunk * (3 * chunked.MAX_SMALL_CHUNKS) + b"0\r\n\r\n")
    assert merger.has_clean_end


# Guards against a body that the merger and the HTTP library understand differently.
def test_random_bodies_are_understood_as_by_the_http_library():
    rng = random.Random(1)
    for _ in range(3000):
        contents = [rng.randbytes(rng.randrange(1, 9)) for _ in range(rng.randrange(5))]
        data = bytearray(
            b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in contents)
            + b"0\r\n\r\n"
        )
        for _ in range(rng.randrange(3)):
            data[rng.randrange(len(data))] = rng.choice(b"0123\r\n;x \x00")
        try:
            merger, passed_on = merge(bytes(data), [rng.randrange(9)])
        except httpcore.RemoteProtocolError:
            continue
        if merger.has_clean_end:
            assert decode(passed_on) == decode(bytes(data))
