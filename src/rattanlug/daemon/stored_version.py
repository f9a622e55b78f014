"""One stored version of the configuration."""

import hashlib
import json
from typing import NamedTuple

from rattanlug.encoding import json_text


class StoredVersion(NamedTuple):
    """Content of the object ``configuration/<version>-<digest>``.

    Attributes
    ----------
    version : int
    author : str
    at : float
        Seconds since the epoch.
    rules : str
    """

    version: int
    author: str
    at: float
    rules: str

    @property
    def digest(self) -> str:
        """SHA-256 of the rule text, hexadecimal."""
        return hashlib.sha256(self.rules.encode()).hexdigest()

    @property
    def object_name(self) -> str:
        """Name in the object store."""
        return object_name(self.version, self.digest)

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "StoredVersion":
        """Read the stored form.

        Raises
        ------
        ValueError
            When it is not a stored version.
        """
        value = json_text.decode(data)
        try:
            return cls(
                int(value["version"]),
                str(value["author"]),
                float(value["at"]),
                str(value["rules"]),
            )
        except (KeyError, OverflowError, TypeError) as exc:
            raise ValueError("not a stored version") from exc


def object_name(version: int, digest: str) -> str:
    """Return the name of the object of one version.

    The digest is part of it, so that operators who race never overwrite each other's
    object.
    """
    return f"configuration/{version}-{digest}"
