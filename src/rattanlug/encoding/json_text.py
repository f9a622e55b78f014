"""Decodes JSON that another program wrote."""

import json
from typing import Any


def decode(data: bytes | str) -> Any:
    """Decode a JSON value.

    Unlike ``json.loads``, it raises no error other than ValueError, whatever the data.

    Raises
    ------
    ValueError
        When the data is not valid JSON or is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("the JSON value is nested too deeply") from exc
