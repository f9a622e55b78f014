"""Allocation of fleet-wide limits to seats."""

import functools
import hashlib

from rattanlug.model import configuration as model_configuration
from rattanlug.model import link as model_link
from rattanlug.seats import slot


class SeatPlan:
    """Seats of one configuration and the slots and shares of each.

    The plan depends on the configuration only, so two VMs with the same configuration
    never assign the same slot or share to different seats.

    Parameters
    ----------
    configuration : configuration.Configuration
    """

    def __init__(self, configuration: model_configuration.Configuration):
        self._configuration = configuration
        self._regions = {
            f"{name}/{index}": centre.region
            for name, centre in sorted(configuration.data_centres.items())
            for index in range(centre.vms)
        }

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._configuration.version

    @property
    def seats(self) -> tuple[str, ...]:
        """Names of all seats, ``<data centre>/<index>``."""
        return tuple(self._regions)

    def seats_of(self, data_centre: str) -> tuple[str, ...]:
        """Return the names of the seats of one data centre."""
        return tuple(s for s in self._regions if s.rpartition("/")[0] == data_centre)

    def share(self, seat: str) -> float:
        """Return the seat's share of each fleet-wide limit, 0 for an unknown seat."""
        return 1 / len(self._regions) if seat in self._regions else 0.0

    def slots(self, seat: str) -> frozenset[slot.Slot]:
        """Return the slots that the seat owns, all in its own data centre."""
        return self._slots_by_seat.get(seat, frozenset())

    def link_share(self, seat: str, link: model_link.Link) -> float:
        """Return the seat's share of its region's rate on a link."""
        region = self._regions.get(seat)
        if region not in (link.first_region, link.second_region):
            return 0.0
        return 1 / sum(other == region for other in self._regions.values())

    @functools.cached_property
    def _slots_by_seat(self) -> dict[str, frozenset[slot.Slot]]:
        owned = {seat: set() for seat in self._regions}
        for upstream in self._configuration.upstreams.values():
            seats = self.seats_of(upstream.data_centre)
            if not seats:
                continue
            for index in range(upstream.slots):
                entry = slot.Slot(upstream.name, index)
                owned[max(seats, key=functools.partial(_rendezvous_weight, entry))].add(
                    entry
                )
        return {seat: frozenset(slots) for seat, slots in owned.items()}


def _rendezvous_weight(entry: slot.Slot, seat: str) -> bytes:
    text = f"{entry.upstream}\n{entry.index}\n{seat}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
