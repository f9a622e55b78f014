"""Queue of requests that wait for a slot, fair across organisations."""

import collections

from rattanlug.routing import waiting_request

MAX_WAIT_SECONDS = 0.1
MAX_WAIT_DEADLINE_SHARE = 0.1


class FairQueue:
    """Start-time fair queue with a time limit; one queue per service and version.

    Each organisation has its own first-in, first-out queue and a finish tag: the
    virtual time at which its latest served request ends. Serving a request advances
    the tag by 1 / weight, and the organisation with the smallest tag is served next.
    A request that expires does not advance the tag: if tags were assigned on arrival,
    an organisation would be charged for its rejected requests. An organisation that
    was idle starts at the current virtual time, so it can't accumulate credit. While
    requests wait, a new one is queued even if a slot is free.

    Parameters
    ----------
    capacity : int
        Maximum number of waiting requests per organisation; further ones are rejected.
    """

    def __init__(self, capacity: int = 100):
        self._capacity = capacity
        self._queues: dict[str, collections.deque[waiting_request.WaitingRequest]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._next_number = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def put(
        self, organisation: str, weight: float, now: float, deadline: float
    ) -> waiting_request.WaitingRequest | None:
        """Queue a request.

        Parameters
        ----------
        organisation : str
            Empty for requests on open routes, which need no key.
        weight : float
            The organisation's rate; above 0.
        now, deadline : float
            Seconds. The request waits for at most a tenth of the time until its
            deadline, and for at most 0.1 s.

        Returns
        -------
        waiting_request.WaitingRequest or None
            None if the request can't wait and must be rejected at once.
        """
        wait = min(MAX_WAIT_SECONDS, MAX_WAIT_DEADLINE_SHARE * (deadline - now))
        queue = self._queues.get(organisation)
        if wait <= 0 or (queue is not None and len(queue) >= self._capacity):
            return None
        if queue is None:
            queue = self._queues[organisation] = collections.deque()
            tag = self._finish_tags.get(organisation, 0.0)
            self._finish_tags[organisation] = max(tag, self._virtual_time)
        self._next_number += 1
        item = waiting_request.WaitingRequest(
            self._next_number, organisation, weight, now + wait
        )
        queue.append(item)
        return item

    def take(self, now: float) -> waiting_request.WaitingRequest | None:
        """Remove and return the next request to serve; expired ones stay queued."""
        candidates = []
        for queue in self._queues.values():
            head = next((item for item in queue if item.expires_at > now), None)
            if head is not None:
                candidates.append(head)
        if not candidates:
            return None
        item = min(
            candidates,
            key=lambda head: (self._finish_tags[head.organisation], head.number),
        )
        self._virtual_time = max(
            self._virtual_time, self._finish_tags[item.organisation]
        )
        self._finish_tags[item.organisation] += 1.0 / item.weight
        self.remove(item)
        return item

    def expired(self, now: float) -> list[waiting_request.WaitingRequest]:
        """Remove and return the requests that have reached their time limit."""
        expired_requests = []
        for queue in self._queues.values():
            expired_requests += [item for item in queue if item.expires_at <= now]
        for item in expired_requests:
            self.remove(item)
        return expired_requests

    def remove(self, item: waiting_request.WaitingRequest) -> None:
        """Remove a request whose caller gave up; no effect if it isn't queued."""
        queue = self._queues.get(item.organisation, collections.deque())
        if item in queue:
            queue.remove(item)
        if not queue:
            self._queues.pop(item.organisation, None)
