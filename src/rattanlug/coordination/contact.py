"""Contact with a majority of data centres."""

from collections.abc import Iterable, Mapping

from rattanlug.coordination import information

MAX_AGE_S = 2.5


class MajorityContact:
    """Age of the information from each data centre.

    Parameters
    ----------
    data_centre : str
        Own data centre, which always counts.
    """

    def __init__(self, data_centre: str):
        self._own = data_centre
        self._data_centres: frozenset[str] = frozenset([data_centre])
        self._information: dict[str, information.Information] = {}
        self._versions: dict[str, int] = {}
        self._applied = 0

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
            Information age by data centre, as the peer reports it; 0 for the peer's
            own data centre if the peer is serving, nothing for it otherwise.
        version : int
            Version that the peer has applied.
        """
        for data_centre, age in ages.items():
            entry = self._information.setdefault(data_centre, information.Information())
            entry.observe(asked_at - age, version, self._applied)

    def observe_version(self, data_centre: str, version: int) -> None:
        """Record that a VM of a data centre has applied a version."""
        self._versions[data_centre] = max(version, self._versions.get(data_centre, 0))

    def ages(self, now: float) -> dict[str, float]:
        """Return the information ages to report to peers, without the own one."""
        return {
            data_centre: now - entry.moment
            for data_centre, entry in self._information.items()
            if data_centre != self._own and now - entry.moment <= MAX_AGE_S
        }

    def in_contact(self, now: float) -> bool:
        """Return whether information from a majority is recent."""
        fresh = {self._own, *self.ages(now)} & self._data_centres
        return 2 * len(fresh) > len(self._data_centres)

    def accepted_version(self) -> int:
        """Return the highest version known to be applied in a majority."""
        own = {**self._versions, self._own: self._applied}
        known = sorted((own.get(name, 0) for name in self._data_centres), reverse=True)
        return known[len(known) // 2] if known else 0
