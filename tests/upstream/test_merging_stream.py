"""Tests of the stream that merges the chunks of responses."""

import httpcore
import pytest
import trio

from rattanlug.upstream import merging_stream

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_TEN_CHUNKS = b"1\r\nx\r\n" * 10 + b"0\r\n\r\n"
_INTERIM = b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"


class Stream(httpcore.AsyncMockStream):
    """Gives the same pieces for each request."""


def send(pieces, methods):
    """Return the responses to some requests on a connection."""

    async def main():
        stream = merging_stream.MergingStream(Stream(list(pieces)), 100)
        origin = httpcore.Origin(b"http", b"upstream", 80)
        connection = httpcore.AsyncHTTP11Connection(origin, stream)
        return [await connection.request(each, "http://upstream/") for each in methods]

    return trio.run(main)


def read_chunks(pieces):
    """Return what is read from a connection until its end."""

    async def main():
        stream = merging_stream.MergingStream(Stream(list(pieces)), 100)
        await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        found = []
        while data := await stream.read(65536):
            found.append(data)
        return found

    return trio.run(main)


def in_pieces(data, size):
    return [data[i : i + size] for i in range(0, len(data), size)]


# Guards against chunks of one byte, for each of which the HTTP library makes an event.
def test_chunks_that_come_together_are_one():
    assert read_chunks([_CHUNKED + _TEN_CHUNKS]) == [
        _CHUNKED + b"a\r\nxxxxxxxxxx\r\n0\r\n\r\n"
    ]


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("interim", [b"", _INTERIM])
def test_the_response_is_the_same(size, interim):
    pieces = in_pieces(interim + _CHUNKED + _TEN_CHUNKS, size)
    (response,) = send(pieces, ["GET"])
    assert response.content == b"x" * 10


def test_each_response_of_a_connection_is_merged_on_its_own():
    plain = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n1\r\nx\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    pieces = [_CHUNKED + _TEN_CHUNKS, plain, head, _CHUNKED, _TEN_CHUNKS]
    found = [each.content for each in send(pieces, ["GET", "GET", "HEAD", "GET"])]
    assert found == [b"x" * 10, b"1\r\nx\r\n", b"", b"x" * 10]


@pytest.mark.parametrize("rest", [b"junk", b"65\r\n", b"1\r\nxx\r\n"])
def test_a_malformed_or_too_large_chunk_is_an_error_of_the_server(rest):
    with pytest.raises(httpcore.RemoteProtocolError):
        send([_CHUNKED + rest], ["GET"])
