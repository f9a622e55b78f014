"""The newest version that this VM applied, and the steps that led to it."""

import collections
from collections.abc import Callable

from rattanlug.configuration import delta, offer_result

#: Peers that are further behind get the full text instead.
_MAX_DELTAS = 64
_MAX_DELTA_CHARACTERS = 256 * 1024
#: A starting VM trusts a relayed read of the head up to this age, the same as for
#: revoked keys.
_MAX_EVIDENCE_AGE_S = 10.0


PutInForce = Callable[[int, str, float], None]


class ConfigurationState:
    """Applies offered versions; the version in force never falls.

    Version 0 is the empty text.

    Parameters
    ----------
    put_in_force : callable, optional
        ``put_in_force(version, text, now)`` is called before a version counts as
        applied; when it raises, the version in force stays.
    """

    def __init__(self, put_in_force: PutInForce | None = None):
        self._put_in_force = put_in_force
        self._version = 0
        self._text = ""
        self._digest = delta.text_digest("")
        self._deltas: collections.deque[delta.Delta] = collections.deque()
        self._newest_heard = 0
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
    def newest_heard(self) -> int:
        """Highest version that was offered, read or named by a peer."""
        return max(self._newest_heard, self._version)

    def hear_version(self, version: int, now: float) -> bool:
        """Note that a version exists.

        Parameters
        ----------
        version : int
        now : float

        Returns
        -------
        bool
            Whether it is newer than the one in force and should be fetched.
        """
        self._newest_heard = max(self._newest_heard, version)
        if version <= self._version:
            return False
        if self._behind_since is None:
            self._behind_since = now
        return True

    def behind_for(self, now: float) -> float:
        """Return for how long a newer version was known but not in force, seconds."""
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
            The full text, or the step from the text in force.
        now : float

        Returns
        -------
        offer_result.OfferResult
        """
        if version < self._version:
            return offer_result.OfferResult.KNOWN
        if version == self._version:
            same = digest == self._digest
            results = offer_result.OfferResult
            return results.KNOWN if same else results.CONFLICT
        if isinstance(content, delta.Delta):
            return self._offer_delta(version, digest, content, now)
        if delta.text_digest(content) != digest:
            return offer_result.OfferResult.REJECTED
        self._apply(version, digest, content, now)
        # A step between versions that do not follow each other is of no use to
        # peers; those behind get the full text too.
        self._deltas.clear()
        return offer_result.OfferResult.APPLIED

    def deltas_since(self, version: int, digest: str) -> list[delta.Delta] | None:
        """Return the steps from a peer's version to the one in force.

        Parameters
        ----------
        version : int
        digest : str
            Of the peer's text.

        Returns
        -------
        list of delta.Delta or None
            None if the steps are not kept: the peer needs the full text.
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
        """Return whether this VM knows the newest version that it can learn of.

        Once true it stays true: the freshness of keys is checked for each request.

        Parameters
        ----------
        now : float
        evidence_age : float
            Seconds since the head row is known to have been read, by any VM.
        evidence_version : int
            Version that the read found.
        majority_contact : bool
        store_unavailable : bool
            Whether an own read of the head failed. While the first read is under way,
            a VM waits for it.

        Returns
        -------
        bool
        """
        if self._may_serve:
            return True
        self.hear_version(evidence_version, now)
        from_store = evidence_age <= _MAX_EVIDENCE_AGE_S
        from_peers = store_unavailable and majority_contact
        self._may_serve = self._version >= self.newest_heard and (
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
        behind = version < self._newest_heard
        self._behind_since = now if behind else None
