"""Bookkeeping of the slots that this VM owns, uses, lends and borrows."""

import heapq
from collections.abc import Collection, Iterable, Mapping

from rattanlug.routing import slot_hold, slot_loan

# An upstream may continue to process a request for a short time after its connection
# was closed.
CLOSE_GRACE_SECONDS = 1.0


class SlotLedger:
    """Slots of this VM's seats and slots borrowed from other VMs.

    A slot is the capacity of an upstream for one request at a time. A seat is a fixed
    share of the fleet-wide limits, leased by one VM, which owns the seat's slots.

    An own slot is in exactly one state: not yet usable, free, in use, or lent. In each
    state but "free" it has a token. Only the owner of the token or its expiry frees the
    slot, so a late release can't free a slot that is in use by another request.

    Parameters
    ----------
    loan_prefix : str
        Unique among all lenders and across restarts (VM and incarnation).
    """

    def __init__(self, loan_prefix: str = ""):
        self._loan_prefix = loan_prefix
        self._next_token = 0
        self._usable_from: dict[str, dict[int, float]] = {}
        self._free: dict[str, list[int]] = {}
        self._tokens: dict[tuple[str, int], int] = {}
        self._expiries: list[tuple[float, int, str, int]] = []
        self._in_use: dict[int, slot_hold.SlotHold] = {}
        self._loans: dict[str, tuple[str, int, int]] = {}
        self._borrowed: dict[int, slot_hold.SlotHold] = {}
        self._returns: list[tuple[float, slot_loan.SlotLoan]] = []

    @property
    def in_use(self) -> int:
        """Own slots in use by requests of this VM, abandoned ones included."""
        return len(self._in_use)

    @property
    def lent(self) -> int:
        """Own slots on loan: neither returned nor expired."""
        return len(self._loans)

    @property
    def borrowed(self) -> int:
        """Slots of other VMs in use by requests of this VM."""
        return len(self._borrowed)

    def is_busy(self, upstream: str, number: int) -> bool:
        """Return whether a slot is in use by a request or lent.

        This includes a slot that is no longer owned, until its request has ended.
        """
        token = self._tokens.get((upstream, number))
        if token is None:
            return False
        return token in self._in_use or f"{self._loan_prefix}/{token}" in self._loans

    def owned(self, upstream: str) -> int:
        """Return the number of own slots at one upstream, usable or not."""
        return len(self._usable_from.get(upstream, ()))

    def set_owned(
        self, owned: Mapping[str, Collection[int]], now: float, usable_from: float
    ) -> None:
        """Replace the set of own slots.

        Parameters
        ----------
        owned : Mapping
            Slot numbers by upstream.
        now : float
            Seconds.
        usable_from : float
            Time from which newly owned slots may be used. Slots that were owned before
            keep theirs.
        """
        self._advance(now)
        owned_before, self._usable_from = self._usable_from, {}
        for upstream, usable_times_before in owned_before.items():
            for number in usable_times_before.keys() - set(owned.get(upstream, ())):
                self._discard_pending(upstream, number)
        for upstream, numbers in owned.items():
            usable_times_before = owned_before.get(upstream, {})
            usable_times = {
                number: usable_times_before.get(number, usable_from)
                for number in numbers
            }
            self._usable_from[upstream] = usable_times
            free = [n for n in self._free.get(upstream, ()) if n in usable_times]
            self._free[upstream] = free
            for number in sorted(usable_times.keys() - usable_times_before.keys()):
                if (upstream, number) not in self._tokens:
                    self._make_usable(upstream, number, now)
        for upstream in owned_before.keys() - owned.keys():
            self._free.pop(upstream, None)

    def free(self, upstream: str, now: float) -> int:
        """Return the number of free own slots at one upstream."""
        self._advance(now)
        return len(self._free.get(upstream, ()))

    def acquire(
        self, candidates: Iterable[str], now: float
    ) -> slot_hold.SlotHold | None:
        """Acquire an own slot at the first candidate that has a free one.

        Parameters
        ----------
        candidates : Iterable of str
            Upstreams in order of preference.
        now : float
            Seconds.

        Returns
        -------
        slot_hold.SlotHold or None
        """
        self._advance(now)
        for upstream in candidates:
            if self._free.get(upstream):
                number, token = self._take(upstream)
                hold = slot_hold.SlotHold(upstream, token, number)
                self._in_use[token] = hold
                return hold
        return None

    def release(
        self, hold: slot_hold.SlotHold, now: float, *, answered: bool = True
    ) -> None:
        """Release a slot; a second release of the same hold has no effect.

        Parameters
        ----------
        hold : slot_hold.SlotHold
        now : float
            Time at which the upstream responded or the connection was closed. An
            abandoned request occupies its slot until then, so this must not be called
            earlier.
        answered : bool
            False for an abandoned request: its slot stays occupied for another 1 s.
        """
        self._advance(now)
        free_at = now if answered else now + CLOSE_GRACE_SECONDS
        if hold.loan is not None:
            if self._borrowed.pop(hold.token, None) is not None:
                heapq.heappush(self._returns, (free_at, hold.loan))
        elif hold.token in self._in_use:
            if answered:
                self._free_slot(hold.upstream, hold.number, hold.token, now)
            else:
                self._expire_at(free_at, hold.token, hold.upstream, hold.number)

    def lend(
        self,
        service: str,
        version: str,
        upstreams: Iterable[str],
        now: float,
        deadline: float,
    ) -> slot_loan.SlotLoan | None:
        """Lend a free own slot to another VM for one request.

        Parameters
        ----------
        service, version : str
            Copied into the loan.
        upstreams : Iterable of str
            Upstreams that may be used, in order of preference.
        now, deadline : float
            Seconds on this VM's clock; the loan expires 1 s after the deadline.

        Returns
        -------
        slot_loan.SlotLoan or None
            None if no upstream has a free own slot or the deadline has passed.
        """
        self._advance(now)
        for upstream in upstreams:
            if deadline > now and self._free.get(upstream):
                number, token = self._take(upstream)
                expiry = deadline + CLOSE_GRACE_SECONDS
                loan_id = self._loan_id(token)
                self._loans[loan_id] = (upstream, number, token)
                self._expire_at(expiry, token, upstream, number)
                return slot_loan.SlotLoan(
                    loan_id, service, version, upstream, number, expiry - now
                )
        return None

    def reclaim(self, loan_id: str, now: float) -> bool:
        """Free a lent slot that the borrower returned before its expiry.

        Returns
        -------
        bool
            False if the loan is unknown, already returned or expired.
        """
        self._advance(now)
        if loan_id not in self._loans:
            return False
        upstream, number, token = self._loans[loan_id]
        self._free_slot(upstream, number, token, now)
        return True

    def acquire_borrowed(
        self, loan: slot_loan.SlotLoan, asked_at: float, now: float
    ) -> slot_hold.SlotHold | None:
        """Acquire a slot that another VM has lent.

        Parameters
        ----------
        loan : slot_loan.SlotLoan
        asked_at : float
            Time just before the request to the lender was sent, seconds on this VM's
            clock.
        now : float
            Seconds.

        Returns
        -------
        slot_hold.SlotHold or None
            None if the loan expires too soon to send a request; it is then returned to
            the lender.
        """
        expires = asked_at + loan.lifetime - CLOSE_GRACE_SECONDS
        if now >= expires:
            heapq.heappush(self._returns, (now, loan))
            return None
        self._next_token += 1
        hold = slot_hold.SlotHold(
            loan.upstream, self._next_token, loan.number, loan, expires
        )
        self._borrowed[hold.token] = hold
        return hold

    def due_returns(self, now: float) -> list[slot_loan.SlotLoan]:
        """Remove and return the loans that are due for return to their lenders."""
        due = []
        while self._returns and self._returns[0][0] <= now:
            due.append(heapq.heappop(self._returns)[1])
        return due

    def _advance(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, token, upstream, number = heapq.heappop(self._expiries)
            self._free_slot(upstream, number, token, now)

    def _take(self, upstream: str) -> tuple[int, int]:
        number = self._free[upstream].pop()
        self._next_token += 1
        self._tokens[upstream, number] = self._next_token
        return number, self._next_token

    def _expire_at(self, expiry: float, token: int, upstream: str, number: int) -> None:
        heapq.heappush(self._expiries, (expiry, token, upstream, number))

    def _free_slot(self, upstream: str, number: int, token: int, now: float) -> None:
        if self._tokens.get((upstream, number)) != token:
            return
        del self._tokens[upstream, number]
        self._in_use.pop(token, None)
        self._loans.pop(self._loan_id(token), None)
        if number in self._usable_from.get(upstream, ()):
            self._make_usable(upstream, number, now)

    def _discard_pending(self, upstream: str, number: int) -> None:
        """Discard the token of a slot that is not usable yet."""
        token = self._tokens.get((upstream, number))
        if token not in self._in_use and self._loan_id(token) not in self._loans:
            self._tokens.pop((upstream, number), None)

    def _loan_id(self, token: int | None) -> str:
        return f"{self._loan_prefix}/{token}"

    def _make_usable(self, upstream: str, number: int, now: float) -> None:
        usable_from = self._usable_from[upstream][number]
        if usable_from <= now:
            self._free.setdefault(upstream, []).append(number)
        else:
            self._next_token += 1
            self._tokens[upstream, number] = self._next_token
            self._expire_at(usable_from, self._next_token, upstream, number)
