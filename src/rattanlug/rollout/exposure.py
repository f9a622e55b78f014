"""Limit on the requests that one VM sends to the new version."""

import collections
import random

from rattanlug.model import move
from rattanlug.rollout import move_state, shares

LIFETIME_SECONDS = 3.0


class ExposureBudget:
    """Chooses the version of each request of one service under one move.

    Parameters
    ----------
    planned : move.Move
    """

    def __init__(self, planned: move.Move):
        self._planned = planned
        self._final: move_state.MoveState | None = None
        self._share = 0.0
        self._valid_until = float("-inf")
        # Expiry time and remaining requests of each allowance, by route.
        self._allowances: dict[str, collections.deque[list[float]]] = {}
        self._stopped = False

    @property
    def final(self) -> move_state.MoveState | None:
        """Final state of the move, None while it is not known."""
        return self._final

    def finish(self, state: move_state.MoveState) -> None:
        """Record a final state; the first one that arrives is kept.

        It comes from the steering VM or from gossip.
        """
        if state.final and self._final is None:
            self._final = state

    def stop(self) -> None:
        """Send no more requests to the new version unless the move ends as done."""
        self._stopped = True

    def renew(self, response: shares.Shares, asked_at: float) -> None:
        """Apply a response of the steering VM.

        Parameters
        ----------
        response : shares.Shares
        asked_at : float
            Time just before the request was sent, seconds.
        """
        self.finish(response.state)
        valid_until = asked_at + LIFETIME_SECONDS
        if response.state is not move_state.MoveState.CANARY:
            self._allowances.clear()
        if valid_until >= self._valid_until:
            ramping = response.state is move_state.MoveState.RAMPING
            self._share = response.share if ramping else 0.0
            self._valid_until = valid_until
        for route, allowance in response.allowances.items():
            entries = self._allowances.setdefault(route, collections.deque())
            entries.append([valid_until, allowance])

    def choose(self, route: str, now: float, rng: random.Random) -> str:
        """Return the version for one request.

        Parameters
        ----------
        route : str
        now : float
            Seconds.
        rng : random.Random

        Returns
        -------
        str
            In the canary stage, a choice of the new version uses up an allowance.
        """
        old, new = self._planned.from_version, self._planned.to_version
        if self._final is not None:
            return new if self._final is move_state.MoveState.DONE else old
        if self._stopped or now >= self._valid_until:
            return old
        if self._share > 0:
            return new if rng.random() < self._share else old
        entries = self._allowances.get(route)
        while entries and (entries[0][0] <= now or entries[0][1] < 1):
            entries.popleft()
        if not entries:
            return old
        entries[0][1] -= 1
        return new
