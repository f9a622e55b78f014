"""Admits requests within the rates of organisations."""

import collections
from collections.abc import Callable, Mapping, Sequence

import trio

from rattanlug.errors import error, kind
from rattanlug.invariants import violations
from rattanlug.model import configuration
from rattanlug.quota import loan, quota, settlement
from rattanlug.seats import held_seat

_POLL_INTERVAL_SECONDS = 0.005
# Names of organisations contain no colon, so quotas of moves cannot collide with them.
_MOVE_PREFIX = "move:"


class TokenMessage:
    """Tokens to request from one lender and settlements of its ended loans."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._settlements: dict[str, tuple[settlement.Settlement, ...]] = {}

    @property
    def tokens(self) -> Mapping[str, float]:
        """Tokens to request, by organisation."""
        return self._tokens

    @property
    def settlements(self) -> Mapping[str, tuple[settlement.Settlement, ...]]:
        """Settlements by organisation."""
        return self._settlements

    def add(
        self,
        organisation: str,
        tokens: float,
        settlements: tuple[settlement.Settlement, ...],
    ) -> None:
        """Add the tokens and settlements of one organisation."""
        self._tokens[organisation] = tokens
        if settlements:
            self._settlements[organisation] = settlements


class QuotaAccess:
    """Keeps one quota for each organisation and for the cap of each move.

    Parameters
    ----------
    seats : callable
        ``seats(now)`` returns the seats whose tokens may be used.
    all_violations : violations.Violations
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        seats: Callable[[float], Sequence[held_seat.HeldSeat]],
        all_violations: violations.Violations,
        clock: Callable[[], float],
    ) -> None:
        self._seats = seats
        self._violations = all_violations
        self._clock = clock
        self._quotas: dict[str, quota.OrganisationQuota] = {}

    def configure(self, current: configuration.Configuration, now: float) -> None:
        """Apply the rates and caps of a new configuration."""
        limits = {
            item.name: (item.rate, item.burst)
            for item in current.organisations.values()
        }
        for planned in current.moves.values():
            # Within any second at most rate * 1 s + burst requests pass, which is the
            # cap.
            limits[_MOVE_PREFIX + planned.name] = (planned.cap / 2, planned.cap / 2)
        for name, (rate, burst) in limits.items():
            known = self._quotas.get(name)
            if known is None:
                self._quotas[name] = quota.OrganisationQuota(
                    rate, burst, self._seats, self._violations
                )
            else:
                known.configure(rate, burst)
        for name in self._quotas.keys() - limits.keys():
            del self._quotas[name]

    def try_shift(self, move: str) -> bool:
        """Take a token of the cap of a move, without waiting."""
        limits = self._quotas.get(_MOVE_PREFIX + move)
        return limits is not None and limits.try_admit(self._clock())

    async def admit(self, organisation: str, deadline: float) -> None:
        """Admit one request, waiting for tokens of other VMs if there are none.

        Raises
        ------
        error.RefusedError
            ``rate_limited``.
        """
        limits = self._quotas.get(organisation)
        now = self._clock()
        if limits is not None and limits.try_admit(now):
            return
        if limits is not None and await self._wait(limits, now, deadline):
            return
        raise error.RefusedError(
            kind.ErrorKind.RATE_LIMITED,
            f"organisation {organisation} is above its rate",
        )

    def plan_messages(self, lenders: Mapping[str, int]) -> dict[str, TokenMessage]:
        """Return the messages to send now by lender; see ``OrganisationQuota``."""
        now = self._clock()
        messages: dict[str, TokenMessage] = collections.defaultdict(TokenMessage)
        for name, limits in self._quotas.items():
            for needed in limits.plan_borrowing(now, lenders):
                messages[needed.vm].add(name, needed.tokens, needed.settlements)
        return messages

    def accept(
        self, vm: str, loans: Mapping[str, list[loan.Loan]], asked_at: float
    ) -> None:
        """Apply a lender's response: the loans granted, by organisation."""
        now = self._clock()
        for name, granted in loans.items():
            limits = self._quotas.get(name)
            if limits is not None:
                limits.accept(vm, granted, asked_at, now)

    def borrow_failed(self, vm: str, message: TokenMessage, asked_at: float) -> None:
        """Record that a lender did not respond."""
        for name in message.tokens:
            if name in self._quotas:
                self._quotas[name].borrow_failed(vm, asked_at)

    def lend(self, organisation: str, tokens: float) -> tuple[loan.Loan, ...]:
        """Lend tokens to another VM."""
        limits = self._quotas.get(organisation)
        return limits.lend(tokens, self._clock()) if limits is not None else ()

    def settle(
        self, organisation: str, settlements: Sequence[settlement.Settlement]
    ) -> None:
        """Apply the settlements of a borrower."""
        if organisation in self._quotas:
            self._quotas[organisation].settle(settlements, self._clock())

    def outstanding(self, seat: str) -> float:
        """Return the tokens of a seat that are lent, over all organisations."""
        now = self._clock()
        return sum(limits.outstanding(seat, now) for limits in self._quotas.values())

    def return_all(self) -> None:
        """Settle every loan, before the VM stops."""
        now = self._clock()
        for limits in self._quotas.values():
            limits.return_all(now)

    async def _wait(
        self, limits: quota.OrganisationQuota, now: float, deadline: float
    ) -> bool:
        expires_at = min(now + quota.MAX_WAIT_S, deadline)
        limits.begin_waiting()
        admitted = False
        try:
            while not admitted and self._clock() < expires_at:
                await trio.sleep(_POLL_INTERVAL_SECONDS)
                admitted = limits.admit_waiting(self._clock())
        finally:
            if not admitted:
                limits.stop_waiting()
        return admitted
