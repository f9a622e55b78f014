"""Finds the organisation that a key belongs to."""

import collections
import hashlib
import hmac

from rattanlug.errors import error, kind
from rattanlug.model import configuration as model_configuration
from rattanlug.model import key as model_key

# Withdrawn digests only make the refusal more precise, so their number is bounded.
MAX_WITHDRAWN = 10_000
# Digits of the digest that select the candidates; the rest is compared in constant
# time. A digest says nothing useful about a key, the prefix even less.
_PREFIX_DIGITS = 4


class KeyTable:
    """Keys of one configuration, indexed by digest.

    Parameters
    ----------
    configuration : configuration.Configuration
    earlier : KeyTable, optional
        Table of the configuration before; its keys that are gone are withdrawn.
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
            ``key_withdrawn`` for a key of an earlier configuration that this process
            has seen, ``key_unknown`` otherwise.
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
