"""Contact with a majority of data centres."""

import math
from collections.abc import Iterable, Mapping

from rattanlug.coordination import information

MAX_AGE_S = 2.5
# Rounds of gossip are 0.5 s apart; a longer gap means that the VM was paused.
MAX_ROUND_GAP_S = 1.5
# After this long without an answer from its data centre a VM considers itself alone.
ALONE_AFTER_S = 3.0


class MajorityContact:
    """Age of the information from each data centre.

    The own data centre counts through answers of the other VMs in it. A VM that was
    paused, or that cannot fetch a configuration which they have, would otherwise
    vouch for old rules. Only a VM that has run for 3 s without an answer from its
    data centre counts for it alone.

    Parameters
    ----------
    data_centre : str
        Own data centre.
    """

    def __init__(self, data_centre: str):
        self._own = data_centre
        self._data_centres: frozenset[str] = frozenset([data_centre])
        self._information: dict[str, information.Information] = {}
        self._versions: dict[str, int] = {}
        self._applied = 0
        self._known = 0
        self._round_at = -math.inf
        self._alone_from = math.inf

    def begin_round(self, now: float) -> None:
        """Note the start of a round of gossip; to be called every 0.5 s."""
        if now - self._round_at > MAX_ROUND_GAP_S:
            self._alone_from = now + ALONE_AFTER_S
        self._round_at = now

    def apply(self, version: int, data_centres: Iterable[str]) -> None:
        """Note the configuration version that this VM has applied.

        Parameters
        ----------
        version : int
        data_centres : iterable of str
            Data centres of that version.
        """
        self._applied = max(self._applied, version)
        self._data_centres = frozenset(data_centres)
        for entry in self._information.values():
            entry.advance(self._applied)

    def observe(self, asked_at: float, ages: Mapping[str, float], version: int) -> None:
        """Record a gossip response.

        Parameters
        ----------
        asked_at : float
            Moment just before this VM sent its request.
        ages : Mapping
            Information age by data centre, from the peer's ``report``.
        version : int
            Version that the peer has applied.
        """
        self._known = max(self._known, version)
        if ages.get(self._own) == 0:
            answered_at = asked_at + ALONE_AFTER_S
            self._alone_from = max(self._alone_from, answered_at)
        for data_centre, age in ages.items():
            entry = self._information.setdefault(data_centre, information.Information())
            entry.observe(asked_at - age, version, self._applied)

    def observe_version(self, data_centre: str, version: int) -> None:
        """Record that a VM of a data centre has applied a version."""
        self._versions[data_centre] = max(version, self._versions.get(data_centre, 0))

    def ages(self, now: float) -> dict[str, float]:
        """Return the information ages that are recent enough to count."""
        result = {
            data_centre: now - entry.moment
            for data_centre, entry in self._information.items()
            if now - entry.moment <= MAX_AGE_S
        }
        running = now - self._round_at <= MAX_ROUND_GAP_S
        current = self._known <= self._applied
        if running and current and now >= self._alone_from:
            result[self._own] = 0.0
        return result

    def report(self, now: float, data_centre: str, serving: bool) -> dict[str, float]:
        """Return the information ages for a peer.

        Parameters
        ----------
        now : float
        data_centre : str
            Data centre of the peer. In the own one this VM itself is the news.
        serving : bool
            Whether this VM is serving; if not, it does not count for others.
        """
        result = self.ages(now)
        if data_centre == self._own:
            result.pop(self._own, None)
            if serving:
                result[self._own] = 0.0
        elif not serving:
            result.pop(self._own, None)
        return result

    def in_contact(self, now: float) -> bool:
        """Return whether information from a majority is recent."""
        fresh = self._data_centres.intersection(self.ages(now))
        return 2 * len(fresh) > len(self._data_centres)

    def accepted_version(self) -> int:
        """Return the highest version known to be applied in a majority."""
        own = {**self._versions, self._own: self._applied}
        known = sorted((own.get(name, 0) for name in self._data_centres), reverse=True)
        return known[len(known) // 2] if known else 0
