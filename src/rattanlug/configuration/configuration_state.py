"""Configuration version that this VM has applied, and recent deltas."""

import collections
from collections.abc import Callable

from rattanlug.configuration import delta, offer_result

#: Limits on the deltas that are kept. Peers that are further behind get the full text.
_MAX_DELTAS = 64
_MAX_DELTA_CHARACTERS = 256 * 1024
#: Maximum age of a read of the head, the store's row with the newest version, on which
#: a starting VM relies. Another VM may have read it. The same as for revoked keys.
_MAX_EVIDENCE_AGE_S = 10.0


PutInForce = Callable[[int, str, float], None]


class ConfigurationState:
    """Applies versions that are offered by peers or the store.

    The version in force, which this VM has applied, never decreases. Version 0 is the
    empty text.

    Parameters
    ----------
    put_in_force : callable, optional
        ``put_in_force(version, text, now)`` is called before a version is recorded as
        applied. If it raises, the version in force does not change.
    """

    def __init__(self, put_in_force: PutInForce | None = None):
        self._put_in_force = put_in_force
        self._version = 0
        self._text = ""
        self._digest = delta.text_digest("")
        self._deltas: collections.deque[delta.Delta] = collections.deque()
        self._newest_known_version = 0
        self._behind_since: float | None = None
        self._may_serve = False

    @property
    def version(self) -> int:
        """Version in force."""
        return self._version

    @property
    def digest(self) -> str:
        """SHA-256 of the text in force, 64 hexadecimal digits."""
        return self._digest

    @property
    def text(self) -> str:
        """Rule text in force."""
        return self._text

    @property
    def newest_known_version(self) -> int:
        """Highest version that was offered, read or mentioned by a peer."""
        return max(self._newest_known_version, self._version)

    def record_version(self, version: int, now: float) -> bool:
        """Record that a version exists.

        Parameters
        ----------
        version : int
        now : float

        Returns
        -------
        bool
            Whether it is newer than the one in force and should be fetched.
        """
        self._newest_known_version = max(self._newest_known_version, version)
        if version <= self._version:
            return False
        if self._behind_since is None:
            self._behind_since = now
        return True

    def behind_for(self, now: float) -> float:
        """Return the seconds for which a newer version is known but not applied."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def offer(
        self, version: int, digest: str, content: str | delta.Delta, now: float
    ) -> offer_result.OfferResult:
        """Apply a version if it is newer and intact.

        Parameters
        ----------
        version : int
        digest : str
            SHA-256 of the text of ``version``, 64 hexadecimal digits.
        content : str or delta.Delta
            The full text, or a delta from the text in force.
        now : float

        Returns
        -------
        offer_result.OfferResult
        """
        if version < self._version:
            return offer_result.OfferResult.KNOWN
        if version == self._version:
            digests_match = digest == self._digest
            results = offer_result.OfferResult
            return results.KNOWN if digests_match else results.CONFLICT
        if isinstance(content, delta.Delta):
            return self._offer_delta(version, digest, content, now)
        if delta.text_digest(content) != digest:
            return offer_result.OfferResult.REJECTED
        self._apply(version, digest, content, now)
        # The deltas no longer lead to the version in force, so peers that are behind
        # get the full text too.
        self._deltas.clear()
        return offer_result.OfferResult.APPLIED

    def deltas_since(self, version: int, digest: str) -> list[delta.Delta] | None:
        """Return the deltas from a peer's version to the one in force.

        Parameters
        ----------
        version : int
        digest : str
            SHA-256 of the peer's text.

        Returns
        -------
        list of delta.Delta or None
            None if the deltas are not kept, so that the peer needs the full text.
        """
        if (version, digest) == (self._version, self._digest):
            return []
        steps = list(self._deltas)
        for index, step in enumerate(steps):
            if (step.base_version, step.base_digest) == (version, digest):
                return steps[index:]
        return None

    def may_serve(
        self,
        now: float,
        evidence_age: float,
        evidence_version: int,
        majority_contact: bool,
        store_unavailable: bool,
    ) -> bool:
        """Return whether this VM has applied the newest version that it can know of.

        Once true it stays true, since the freshness of keys is checked per request.

        Parameters
        ----------
        now : float
        evidence_age : float
            Seconds since the latest known read of the head row, by any VM.
        evidence_version : int
            Version in that read.
        majority_contact : bool
            Whether this VM has recent information from a majority of the data centres.
        store_unavailable : bool
            Whether this VM's own read of the head has failed. While the first read is
            in progress, the VM waits for it.

        Returns
        -------
        bool
        """
        if self._may_serve:
            return True
        self.record_version(evidence_version, now)
        from_store = evidence_age <= _MAX_EVIDENCE_AGE_S
        from_peers = store_unavailable and majority_contact
        self._may_serve = self._version >= self.newest_known_version and (
            from_store or from_peers
        )
        return self._may_serve

    def _offer_delta(self, version, digest, step, now):
        if (step.base_version, step.base_digest) != (self._version, self._digest):
            return offer_result.OfferResult.NEEDS_TEXT
        if step.digest != digest or version != step.base_version + 1:
            return offer_result.OfferResult.REJECTED
        try:
            text = delta.apply_delta(self._text, step)
        except delta.DeltaError:
            return offer_result.OfferResult.REJECTED
        self._apply(version, digest, text, now)
        self._deltas.append(step)
        while len(self._deltas) > _MAX_DELTAS or (
            sum(len(kept.text) for kept in self._deltas) > _MAX_DELTA_CHARACTERS
        ):
            self._deltas.popleft()
        return offer_result.OfferResult.APPLIED

    def _apply(self, version, digest, text, now):
        if self._put_in_force is not None:
            self._put_in_force(version, text, now)
        self._version, self._digest, self._text = version, digest, text
        behind = version < self._newest_known_version
        self._behind_since = now if behind else None
