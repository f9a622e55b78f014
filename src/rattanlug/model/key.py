"""A key of an organisation, of which only the digest is stored."""

from typing import NamedTuple


class Key(NamedTuple):
    """One issued key.

    Attributes
    ----------
    organisation : str
    name : str
        Name for operators, unique within the organisation.
    digest : str
        SHA-256 of the key, 64 hexadecimal digits.
    """

    organisation: str
    name: str
    digest: str
