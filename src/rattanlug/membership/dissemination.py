"""Queue of members whose changes are still to be sent to peers."""

import math


class Dissemination:
    """Limits how often a change is sent, to a number that grows with log(members).

    Each VM that receives a change sends it on that often, so that it reaches all
    members. Without the limit, the traffic would grow with the number of members.
    """

    def __init__(self):
        self._send_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._send_counts)

    def add(self, vm: str) -> None:
        """Queue a change of ``vm``; its send count restarts if it is queued already."""
        self._send_counts.pop(vm, None)
        self._send_counts[vm] = 0

    def discard(self, vm: str) -> None:
        """Remove ``vm`` from the queue."""
        self._send_counts.pop(vm, None)

    def take(self, limit: int, members: int) -> list[str]:
        """Return the VMs whose changes go into the next message.

        The least often sent ones come first, and of these the newest.

        Parameters
        ----------
        limit : int
        members : int
            Size of the fleet.

        Returns
        -------
        list of str
        """
        max_sends = 4 * math.ceil(math.log10(members + 1))
        names = sorted(reversed(self._send_counts), key=self._send_counts.__getitem__)[
            :limit
        ]
        for vm in names:
            self._send_counts[vm] += 1
            if self._send_counts[vm] >= max_sends:
                del self._send_counts[vm]
        return names
