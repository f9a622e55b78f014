"""Tests of decoding JSON that another program wrote."""

import hypothesis
import pytest
from hypothesis import strategies

from rattanlug.encoding import json_text

DEEPLY_NESTED = [b"[" * 2000 + b"]" * 2000, b'{"a":' * 100_000, b"[" * 65_536]


def test_a_valid_value_is_decoded():
    assert json_text.decode(b'{"a": [1, 2.5, null]}') == {"a": [1, 2.5, None]}
    assert json_text.decode('"text"') == "text"


# Guards against RecursionError, which is no ValueError, for data from outside.
@pytest.mark.parametrize("data", DEEPLY_NESTED, ids=["lists", "objects", "unclosed"])
def test_deeply_nested_json_is_a_value_error(data):
    with pytest.raises(ValueError):
        json_text.decode(data)


@hypothesis.given(strategies.binary(max_size=300))
def test_no_data_raises_another_error(data):
    try:
        json_text.decode(data)
    except ValueError:
        return
