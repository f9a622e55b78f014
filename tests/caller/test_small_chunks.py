"""Uploads in chunks of one byte, as the parser of the HTTP library handles them."""

import h11
import pytest

from rattanlug.caller import library_connection

_HEAD = b"PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against uploads that keep the event loop from all other work after their
# responses, with pieces for which nothing waits any more.
@pytest.mark.parametrize("headers", [[], [("Connection", "close")]])
def test_the_rest_of_a_body_is_not_parsed_after_the_response(headers):
    parser = library_connection.RequestLineRecorder(65536)
    parser.receive_data(_HEAD + b"1\r\nx\r\n" * 1000)
    assert isinstance(parser.next_event(), h11.Request)
    assert isinstance(parser.next_event(), h11.Data)
    parser.send(
        h11.Response(status_code=400, headers=[("Content-Length", "0"), *headers])
    )
    assert isinstance(parser.next_event(), h11.Data)
    parser.send(h11.EndOfMessage())
    assert parser.next_event() is h11.NEED_DATA
    held = len(parser.trailing_data[0])
    parser.receive_data(b"1\r\nx\r\n" * 1000)
    assert parser.next_event() is h11.NEED_DATA
    assert len(parser.trailing_data[0]) == held
