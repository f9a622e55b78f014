"""Requests that wait for a slot, served fairly over organisations."""

import collections

from rattanlug.routing import waiting_request

LONGEST_WAIT_SECONDS = 0.1
DEADLINE_SHARE = 0.1


class FairQueue:
    """Start-time fair queue with a time limit; one queue per service and version.

    Each organisation has its own first-in, first-out line and a tag: the virtual time
    at which its previous service ends. Being served moves the tag by one over the
    weight, and the smallest tag is served next. Waiting in vain moves no tag: tags
    fixed on arrival would make an organisation pay for its refused requests. An
    organisation that was idle starts at the current virtual time, so it can't save up
    turns. While requests wait, a new one has to queue even if a slot is free.

    Parameters
    ----------
    capacity : int
        Most waiting requests of one organisation; the newest is refused beyond that.
    """

    def __init__(self, capacity: int = 100):
        self._capacity = capacity
        self._lines: dict[str, collections.deque[waiting_request.WaitingRequest]] = {}
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._next_number = 0

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def put(
        self, organisation: str, weight: float, now: float, deadline: float
    ) -> waiting_request.WaitingRequest | None:
        """Let a request wait.

        Parameters
        ----------
        organisation : str
            Empty for requests of open routes.
        weight : float
            The organisation's rate; above 0.
        now, deadline : float
            Seconds. The request waits for a tenth of its deadline or 0.1 s, whichever
            is shorter.

        Returns
        -------
        waiting_request.WaitingRequest or None
            None when it can't wait and must be refused at once.
        """
        wait = min(LONGEST_WAIT_SECONDS, DEADLINE_SHARE * (deadline - now))
        line = self._lines.get(organisation)
        if wait <= 0 or (line is not None and len(line) >= self._capacity):
            return None
        if line is None:
            line = self._lines[organisation] = collections.deque()
            tag = self._tags.get(organisation, 0.0)
            self._tags[organisation] = max(tag, self._virtual_time)
        self._next_number += 1
        item = waiting_request.WaitingRequest(
            self._next_number, organisation, weight, now + wait
        )
        line.append(item)
        return item

    def take(self, now: float) -> waiting_request.WaitingRequest | None:
        """Return the request that is served next; expired ones are left in place."""
        heads = []
        for line in self._lines.values():
            head = next((item for item in line if item.expires_at > now), None)
            if head is not None:
                heads.append(head)
        if not heads:
            return None
        item = min(heads, key=lambda head: (self._tags[head.organisation], head.number))
        self._virtual_time = max(self._virtual_time, self._tags[item.organisation])
        self._tags[item.organisation] += 1.0 / item.weight
        self.remove(item)
        return item

    def expired(self, now: float) -> list[waiting_request.WaitingRequest]:
        """Remove and return the requests whose time limit has come."""
        late = []
        for line in self._lines.values():
            late += [item for item in line if item.expires_at <= now]
        for item in late:
            self.remove(item)
        return late

    def remove(self, item: waiting_request.WaitingRequest) -> None:
        """Remove a request whose caller gave up; no effect if it is gone."""
        line = self._lines.get(item.organisation, collections.deque())
        if item in line:
            line.remove(item)
        if not line:
            self._lines.pop(item.organisation, None)
