"""Contact with a majority of data centres."""

import math
from collections.abc import Iterable, Mapping

from rattanlug.coordination import information

# Older information does not count for a majority.
MAX_AGE_S = 2.5
# Gossip rounds are 0.5 s apart; a longer gap means that the VM was paused.
MAX_ROUND_GAP_S = 1.5
# A VM considers itself alone in its data centre after this long without a response from
# another VM there.
ALONE_AFTER_S = 3.0


class MajorityContact:
    """Age of the information from each data centre.

    The age is the time since one of the data centre's VMs is known to have had no newer
    configuration version than this VM has applied now.

    Information on a VM's own data centre comes from responses of the other VMs in it.
    Otherwise a VM that was paused, or that can't fetch a configuration which the others
    have, would confirm outdated rules as current. Only a VM that has run for 3 s
    without a response from its data centre is itself the source for it.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    """

    def __init__(self, data_centre: str):
        self._own_data_centre = data_centre
        self._data_centres: frozenset[str] = frozenset([data_centre])
        self._information: dict[str, information.Information] = {}
        self._versions: dict[str, int] = {}
        self._applied_version = 0
        self._newest_known_version = 0
        self._last_round_at = -math.inf
        self._alone_from = math.inf

    def begin_round(self, now: float) -> None:
        """Record the start of a gossip round; call it every 0.5 s."""
        if now - self._last_round_at > MAX_ROUND_GAP_S:
            self._alone_from = now + ALONE_AFTER_S
        self._last_round_at = now

    def apply(self, version: int, data_centres: Iterable[str]) -> None:
        """Record the configuration version that this VM has applied.

        Parameters
        ----------
        version : int
        data_centres : iterable of str
            Data centres of that version.
        """
        self._applied_version = max(self._applied_version, version)
        self._data_centres = frozenset(data_centres)
        for entry in self._information.values():
            entry.advance(self._applied_version)

    def observe(self, asked_at: float, ages: Mapping[str, float], version: int) -> None:
        """Record a gossip response.

        Parameters
        ----------
        asked_at : float
            Time just before this VM sent its request.
        ages : Mapping
            Information age by data centre, from the peer's ``report``.
        version : int
            Configuration version that the peer has applied.
        """
        self._newest_known_version = max(self._newest_known_version, version)
        if ages.get(self._own_data_centre) == 0:
            alone_from = asked_at + ALONE_AFTER_S
            self._alone_from = max(self._alone_from, alone_from)
        for data_centre, age in ages.items():
            entry = self._information.setdefault(data_centre, information.Information())
            entry.observe(asked_at - age, version, self._applied_version)

    def observe_version(self, data_centre: str, version: int) -> None:
        """Record that a VM of a data centre has applied a configuration version."""
        self._versions[data_centre] = max(version, self._versions.get(data_centre, 0))

    def ages(self, now: float) -> dict[str, float]:
        """Return the information ages up to the limit, seconds by data centre."""
        result = {
            data_centre: now - entry.moment
            for data_centre, entry in self._information.items()
            if now - entry.moment <= MAX_AGE_S
        }
        running = now - self._last_round_at <= MAX_ROUND_GAP_S
        up_to_date = self._newest_known_version <= self._applied_version
        if running and up_to_date and now >= self._alone_from:
            result[self._own_data_centre] = 0.0
        return result

    def report(self, now: float, data_centre: str, serving: bool) -> dict[str, float]:
        """Return the information ages to send to a peer.

        Parameters
        ----------
        now : float
        data_centre : str
            Data centre of the peer. For a peer in the same one, this VM is a source of
            information with age 0.
        serving : bool
            Whether this VM is serving. If not, its data centre's information is left
            out.
        """
        result = self.ages(now)
        if data_centre == self._own_data_centre:
            result.pop(self._own_data_centre, None)
            if serving:
                result[self._own_data_centre] = 0.0
        elif not serving:
            result.pop(self._own_data_centre, None)
        return result

    def in_contact(self, now: float) -> bool:
        """Return whether there is recent information from a majority."""
        fresh = self._data_centres.intersection(self.ages(now))
        return 2 * len(fresh) > len(self._data_centres)

    def accepted_version(self) -> int:
        """Return the highest version known to be applied in a majority."""
        versions = {**self._versions, self._own_data_centre: self._applied_version}
        known = sorted(
            (versions.get(name, 0) for name in self._data_centres), reverse=True
        )
        return known[len(known) // 2] if known else 0
