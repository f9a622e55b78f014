"""A row of the table service."""

from typing import Any, NamedTuple


class Row(NamedTuple):
    """One row as the table service returned it.

    Attributes
    ----------
    key : str
    revision : int
        Increases with each write of the row; 0 means that the row is absent.
    value : object
        JSON value.
    """

    key: str
    revision: int
    value: Any
