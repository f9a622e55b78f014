"""Index of the organisations by key."""

import hashlib
from collections.abc import Iterable

from rattanlug.desired import organisation


def key_hash(key: str) -> bytes:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(key.encode("latin-1", "replace")).digest()


class KeyIndex:
    """Maps the hash of each key to its organisation.

    Since hashes are looked up, the time of a look-up reveals nothing about a key.

    Parameters
    ----------
    organisations : iterable of organisation.Organisation
    """

    def __init__(self, organisations: Iterable[organisation.Organisation]) -> None:
        self._owners = {
            each_hash: each for each in organisations for each_hash in each.key_hashes
        }

    def owner(self, key: str | None) -> organisation.Organisation | None:
        """Return the organisation to which a key belongs, or None."""
        if key is None:
            return None
        return self._owners.get(key_hash(key))
