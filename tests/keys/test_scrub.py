"""Guards against sending a caller's key to an upstream."""

import urllib.parse

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.errors import error, kind
from rattanlug.keys import scrub

KEY = "k3y+/=secret"
_encoded = urllib.parse.quote(KEY, safe="").encode()


def test_the_key_is_read_and_removed():
    headers = [(b"Authorization", b"Bearer " + KEY.encode()), (b"accept", b"*/*")]
    assert scrub.read_key(headers) == KEY
    assert scrub.remove_key(headers) == [(b"accept", b"*/*")]


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], kind.ErrorKind.KEY_UNKNOWN),
        ([(b"authorization", b"Basic abc")], kind.ErrorKind.KEY_UNKNOWN),
        ([(b"authorization", b"Bearer ")], kind.ErrorKind.KEY_UNKNOWN),
        ([(b"authorization", b"Bearer a b")], kind.ErrorKind.REQUEST_MALFORMED),
        ([(b"authorization", b"Bearer a")] * 2, kind.ErrorKind.REQUEST_MALFORMED),
    ],
)
def test_missing_or_malformed_credentials_are_rejected(headers, expected):
    with pytest.raises(error.RefusedError) as caught:
        scrub.read_key(headers)
    assert caught.value.kind is expected


@settings(deadline=None)
@given(
    st.integers(0, 3),
    st.sampled_from([KEY.encode(), _encoded, _encoded.replace(b"%", b"%25")]),
    st.binary(max_size=20).filter(lambda value: b"%" not in value),
)
def test_a_key_in_any_other_part_of_a_request_is_rejected(place, form, padding):
    parts = [b"/path", b"a=b", b"body", b"value"]
    scrub.check_no_key(KEY, *parts[:3], [(b"x-header", parts[3])])
    parts[place] = padding + form + padding
    with pytest.raises(error.RefusedError) as caught:
        scrub.check_no_key(KEY, *parts[:3], [(b"x-header", parts[3])])
    assert caught.value.kind is kind.ErrorKind.REQUEST_MALFORMED
    assert KEY not in caught.value.detail
