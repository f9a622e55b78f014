"""Finds the organisation that a key belongs to."""

import collections
import hashlib
import hmac

from rattanlug.errors import error, kind
from rattanlug.model import configuration as model_configuration
from rattanlug.model import key as model_key

# Withdrawn digests only make the error more specific, so their number is limited.
MAX_WITHDRAWN = 10_000
# Digits of the digest that select the candidates, which are then compared in constant
# time. The timing can reveal only the prefix of a digest, which is of no use to find
# the key.
_PREFIX_DIGITS = 4


class KeyTable:
    """Keys of one configuration, indexed by digest, the hexadecimal SHA-256.

    Parameters
    ----------
    configuration : configuration.Configuration
    earlier : KeyTable, optional
        Table of the previous configuration; its keys that are missing in the new one
        count as withdrawn.
    """

    def __init__(
        self,
        configuration: model_configuration.Configuration,
        earlier: "KeyTable | None" = None,
    ):
        self._digests = frozenset(configuration.keys)
        self._index = collections.defaultdict(list)
        for entry in configuration.keys.values():
            self._index[entry.digest[:_PREFIX_DIGITS]].append(entry)
        known = [] if earlier is None else [*earlier._withdrawn, *earlier._digests]
        gone = [digest for digest in known if digest not in self._digests]
        self._withdrawn = dict.fromkeys(gone[-MAX_WITHDRAWN:])

    def authenticate(self, key: str) -> model_key.Key:
        """Return the record of a key.

        Parameters
        ----------
        key : str
            The text after ``Bearer``.

        Returns
        -------
        key.Key

        Raises
        ------
        error.RefusedError
            ``key_withdrawn`` for a key of an earlier configuration of this process,
            ``key_unknown`` otherwise.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        result = None
        for entry in self._index.get(digest[:_PREFIX_DIGITS], ()):
            if hmac.compare_digest(entry.digest, digest):
                result = entry
        if result is not None:
            return result
        if digest in self._withdrawn:
            raise error.RefusedError(
                kind.ErrorKind.KEY_WITHDRAWN, "the key was withdrawn"
            )
        raise error.RefusedError(kind.ErrorKind.KEY_UNKNOWN, "the key is not known")
