"""Which news still has to be sent, and how often."""

import math


class Dissemination:
    """Sends each piece of news a number of times that grows with log(members).

    Every VM that learns something passes it on that often, which makes an epidemic
    reach all members; without the limit, the bytes would grow with the members.
    """

    def __init__(self):
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, vm: str) -> None:
        """Begin to send the news about ``vm``, or begin again."""
        self._sent.pop(vm, None)
        self._sent[vm] = 0

    def discard(self, vm: str) -> None:
        """Stop sending news about ``vm``."""
        self._sent.pop(vm, None)

    def take(self, limit: int, members: int) -> list[str]:
        """Return the names for the next message, newest news first.

        Parameters
        ----------
        limit : int
        members : int
            Size of the fleet.

        Returns
        -------
        list of str
        """
        times = 4 * math.ceil(math.log10(members + 1))
        names = sorted(reversed(self._sent), key=self._sent.__getitem__)[:limit]
        for vm in names:
            self._sent[vm] += 1
            if self._sent[vm] >= times:
                del self._sent[vm]
        return names
