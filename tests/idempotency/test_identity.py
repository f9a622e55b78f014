"""Tests that only identities are accepted whose record is still kept."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.errors import error, kind
from rattanlug.idempotency import identity

NOW = 1_800_000_000.0


def _uuid(moment, version="7"):
    digits = f"{int(moment * 1000):012x}"
    return f"{digits[:8]}-{digits[8:]}-{version}abc-9def-0123456789ab"


@settings(deadline=None)
@given(st.floats(-2 * 86400, 2 * 86400))
def test_only_identities_within_the_window_are_accepted(offset):
    text = _uuid(NOW + offset)
    created_at = int(text.replace("-", "")[:12], 16) / 1000
    if -24 * 3600 <= created_at - NOW <= 300:
        assert identity.parse_identity(text.upper(), NOW) == (text, created_at)
    else:
        with pytest.raises(error.RefusedError) as caught:
            identity.parse_identity(text, NOW)
        assert caught.value.kind is kind.ErrorKind.IDENTITY_EXPIRED


@pytest.mark.parametrize("text", [None, "", "x", _uuid(NOW, "4"), _uuid(NOW) + "0"])
def test_anything_but_a_uuid_version_7_counts_as_missing(text):
    with pytest.raises(error.RefusedError) as caught:
        identity.parse_identity(text, NOW)
    assert caught.value.kind is kind.ErrorKind.IDENTITY_MISSING
