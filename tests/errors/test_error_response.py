"""Guards against an error kind without an HTTP answer."""

from rattanlug.errors import error_response, kind


def test_every_kind_has_an_answer():
    assert set(error_response.RESPONSES) == set(kind.ErrorKind)
