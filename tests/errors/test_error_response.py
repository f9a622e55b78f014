"""Guards against an error kind without an HTTP response."""

from rattanlug.errors import error_response, kind


def test_every_kind_has_a_response():
    assert set(error_response.RESPONSES) == set(kind.ErrorKind)
