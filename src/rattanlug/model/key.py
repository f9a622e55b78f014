"""A key of an organisation, known by its digest only."""

from typing import NamedTuple


class Key(NamedTuple):
    """One issued key.

    Attributes
    ----------
    organisation : str
    name : str
        Name that operators use, unique within the organisation.
    digest : str
        SHA-256 of the key, 64 hexadecimal digits.
    """

    organisation: str
    name: str
    digest: str
