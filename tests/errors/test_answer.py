"""Guards against an error kind without an HTTP answer."""

from rattanlug.errors import answer, kind


def test_every_kind_has_an_answer():
    assert set(answer.ANSWERS) == set(kind.ErrorKind)
