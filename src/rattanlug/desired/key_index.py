"""Finds the organisation of a key."""

import hashlib
from collections.abc import Iterable

from rattanlug.desired import organisation


def key_hash(key: str) -> bytes:
    """Return the hash under which a key is kept."""
    return hashlib.sha256(key.encode("latin-1", "replace")).digest()


class KeyIndex:
    """Organisations by the hash of each key.

    Looking up a hash reveals nothing about a key through its timing.

    Parameters
    ----------
    organisations : iterable of organisation.Organisation
    """

    def __init__(self, organisations: Iterable[organisation.Organisation]) -> None:
        self._owners = {
            each_hash: each for each in organisations for each_hash in each.key_hashes
        }

    def owner(self, key: str | None) -> organisation.Organisation | None:
        """Return the organisation that holds a key, or None."""
        if key is None:
            return None
        return self._owners.get(key_hash(key))
