"""Chooses the version of the service for each request."""

import random
from collections.abc import Callable

from rattanlug.daemon import active_move
from rattanlug.logs import state_log
from rattanlug.model import configuration, move, route
from rattanlug.rollout import local_guard, move_state


class VersionChoice:
    """Chooses the version that receives a request.

    Parameters
    ----------
    vm : str
    clock, wall_clock : callable
        Return the present time in seconds.
    rng : random.Random
    may_shift : callable
        ``may_shift(move)`` takes a token of the move's cap, or returns False if there
        is none.
    """

    def __init__(
        self,
        vm: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
        may_shift: Callable[[str], bool],
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._may_shift = may_shift
        self._configuration = configuration.Configuration()
        self._moves: dict[str, active_move.ActiveMove] = {}

    @property
    def moves(self) -> dict[str, active_move.ActiveMove]:
        """Moves of the configuration by name."""
        return self._moves

    def configure(self, current: configuration.Configuration) -> None:
        """Apply the moves of a new configuration."""
        self._configuration = current
        for planned in current.moves.values():
            known = self._moves.get(planned.name)
            if known is None or known.planned != planned:
                self._moves[planned.name] = active_move.ActiveMove(
                    planned, self._vm, self._guard(planned)
                )
        for name in self._moves.keys() - current.moves.keys():
            del self._moves[name]

    def choose(self, matched_route: route.Route) -> str:
        """Return the version for one request."""
        service = matched_route.service
        version = self._configuration.services[service].version
        for item in self._moves.values():
            planned = item.planned
            if planned.service != service or planned.from_version != version:
                continue
            if item.final is move_state.MoveState.DONE:
                version = planned.to_version
            elif item.final is None:
                return self._choose_in_move(item, matched_route.name)
        return version

    def record_outcome(
        self,
        matched_route: route.Route,
        version: str,
        failed: bool,
        latency: float,
        cold: bool,
    ) -> None:
        """Record the outcome of one attempt."""
        for item in self._moves.values():
            planned = item.planned
            if (
                planned.service == matched_route.service
                and item.final is None
                and version in (planned.from_version, planned.to_version)
            ):
                item.record_outcome(matched_route.name, version, failed, latency, cold)

    def record_final_state(self, name: str, state: str) -> None:
        """Record the final state of a move."""
        item = self._moves.get(name)
        try:
            final = move_state.MoveState(state)
        except ValueError:
            return
        if item is not None and item.final is None and final.final:
            state_log.log_change("move", item.state.value, final.value, move=name)
            item.record_final_state(final)

    def finished_moves(self) -> list[tuple[str, str]]:
        """Return names and states of the moves that have ended."""
        return [
            (name, item.final.value)
            for name, item in self._moves.items()
            if item.final is not None
        ]

    def describe(self) -> list[dict]:
        """Return the moves with their states as this VM knows them, for the status."""
        return [
            {
                "move": name,
                "service": item.planned.service,
                "from": item.planned.from_version,
                "to": item.planned.to_version,
                "state": item.state.value,
            }
            for name, item in self._moves.items()
        ]

    def _choose_in_move(self, item: active_move.ActiveMove, route_name: str) -> str:
        planned = item.planned
        chosen = item.choose(route_name, self._clock(), self._rng)
        if chosen != planned.to_version:
            return chosen
        held_back = not self._may_shift(planned.name)
        item.count_cap_check(held_back)
        return planned.from_version if held_back else chosen

    def _guard(self, planned: move.Move) -> local_guard.LocalGuard:
        routes = sum(
            item.service == planned.service
            for item in self._configuration.routes.values()
        )
        vms = sum(item.vms for item in self._configuration.data_centres.values())
        remaining = planned.deadline - self._wall_clock()
        return local_guard.LocalGuard(routes, vms, self._clock(), max(1.0, remaining))
