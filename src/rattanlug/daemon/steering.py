"""Steers moves while this VM holds the lease."""

from collections.abc import Callable

from rattanlug.daemon import version_choice
from rattanlug.errors import error
from rattanlug.logs import state_log
from rattanlug.model import move
from rattanlug.rollout import (
    controller,
    lease_row,
    move_evidence,
    move_record,
    outcome_report,
    shares,
    steering_lease,
)
from rattanlug.table_service import client, write
from rattanlug.table_service import error as platform_error

_LEASE_TABLE = "leases"
_LEASE_KEY = "moves"
_MOVE_TABLE = "moves"


class Steering:
    """Takes the lease and advances the records of the moves while holding it.

    Parameters
    ----------
    vm : str
    incarnation : int
    platform : client.PlatformClient
    versions : version_choice.VersionChoice
    route_count : callable
        ``route_count(service)`` returns the number of routes of a service.
    clock, wall_clock : callable
        Return the present time in seconds.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        platform: client.PlatformClient,
        versions: version_choice.VersionChoice,
        route_count: Callable[[str], int],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._lease = steering_lease.SteeringLease(vm, incarnation)
        self._platform = platform
        self._versions = versions
        self._route_count = route_count
        self._clock = clock
        self._wall_clock = wall_clock
        self._holder = ""
        self._lease_revision = 0
        self._lease_row: lease_row.LeaseRow | None = None
        self._term = 0
        self._records: dict[str, tuple[int, move_record.MoveRecord]] = {}
        self._evidence: dict[str, move_evidence.MoveEvidence] = {}

    @property
    def holder(self) -> str:
        """VM that the lease row names, empty if none is known."""
        return self._holder

    @property
    def held(self) -> bool:
        """Whether this VM may steer now."""
        return self._lease.held(self._clock())

    async def refresh(self, may_hold: bool) -> None:
        """Read the lease row and take or renew the lease when it is due.

        Parameters
        ----------
        may_hold : bool
            Whether this VM may take the lease. Only a few VMs compete for it, so that
            the platform's load does not grow with their number.

        Raises
        ------
        error.PlatformError
        """
        await self._read_lease()
        row = self._lease.next_write(self._clock()) if may_hold or self.held else None
        if row is None:
            return
        try:
            await self._commit([], row)
        except platform_error.ConflictError:
            pass
        await self._read_lease()

    async def steer(self) -> None:
        """Advance the record of every move by one step.

        Raises
        ------
        error.PlatformError
        """
        if not self.held:
            self._records.clear()
            self._evidence.clear()
            return
        if self._term != self._lease.term or not self._has_all_records():
            await self._read_records()
            self._term = self._lease.term
        for name, item in list(self._versions.moves.items()):
            if item.final is None:
                await self._advance_move(item.planned)
            self._report_final(name)

    async def release(self) -> None:
        """Give up the lease before the VM stops.

        Raises
        ------
        error.PlatformError, error.ConflictError
        """
        row = self._lease.release(self._clock())
        if row is not None:
            renewal = write.Write(
                _LEASE_TABLE, _LEASE_KEY, self._lease_revision, row._asdict()
            )
            await self._platform.commit([renewal])

    def handle_report(
        self, name: str, report: outcome_report.OutcomeReport
    ) -> shares.Shares | None:
        """Record a report and return the shares of its sender.

        Returns
        -------
        shares.Shares or None
            None when this VM does not steer the move.
        """
        found = self._records.get(name)
        if found is None or not self.held:
            return None
        evidence = self._evidence_of(self._versions.moves[name].planned)
        evidence.add(report, self._clock())
        return evidence.answer(found[1], report)

    async def read_final_states(self) -> None:
        """Read which moves have ended, so that a VM that has just started knows them.

        Raises
        ------
        error.PlatformError
        """
        await self._read_records()
        for name in self._records:
            self._report_final(name)

    def reason(self, name: str) -> str:
        """Return why a move is in its state, empty if its record was not read."""
        found = self._records.get(name)
        return found[1].reason if found else ""

    async def _read_lease(self) -> None:
        found = await self._platform.get(_LEASE_TABLE, _LEASE_KEY)
        now = self._clock()
        row = None if found is None else lease_row.LeaseRow(**found.value)
        self._lease_revision = 0 if found is None else found.revision
        self._lease_row = row
        self._holder = row.vm if row else ""
        before = self.held
        self._lease.observe(row, now)
        if self.held != before:
            state_log.log_change("steering", before, self.held)

    async def _read_records(self) -> None:
        rows = await self._platform.scan(_MOVE_TABLE, "")
        self._records = {
            row.key: (row.revision, move_record.MoveRecord.from_json(row.value))
            for row in rows
            if row.key in self._versions.moves
        }

    def _has_all_records(self) -> bool:
        return self._records.keys() >= self._versions.moves.keys()

    async def _advance_move(self, planned: move.Move) -> None:
        now = self._clock()
        revision, record = self._records.get(planned.name, (0, None))
        if record is None:
            next_record = move_record.new_record(planned, self._lease.term)
        else:
            next_record = controller.next_step(
                record,
                self._evidence_of(planned),
                now,
                self._wall_clock(),
                self._lease.term,
            )
        if next_record == record:
            return
        wanted = write.Write(_MOVE_TABLE, planned.name, revision, next_record.to_json())
        row = self._lease_row._replace(renewals=self._lease_row.renewals + 1)
        try:
            revisions = await self._commit([wanted], row)
        except error.ConflictError:
            # Another VM wrote first; the cached records are outdated.
            self._term = 0
            return
        self._records[planned.name] = (revisions[-1], next_record)
        if record is None or next_record.state is not record.state:
            state_log.log_change(
                "move_record",
                record.state.value if record else "",
                next_record.state.value,
                move=planned.name,
                reason=next_record.reason,
            )
        await self._read_lease()

    async def _commit(
        self, writes: list[write.Write], row: lease_row.LeaseRow
    ) -> list[int]:
        """Write move rows with a lease renewal, which fences off previous holders."""
        renewal = write.Write(
            _LEASE_TABLE, _LEASE_KEY, self._lease_revision, row._asdict()
        )
        self._lease.record_attempt(row, self._clock())
        return await self._platform.commit([renewal, *writes])

    def _evidence_of(self, planned: move.Move) -> move_evidence.MoveEvidence:
        known = self._evidence.get(planned.name)
        if known is None:
            remaining = max(1.0, planned.deadline - self._wall_clock())
            known = move_evidence.MoveEvidence(
                self._route_count(planned.service), self._clock(), remaining
            )
            self._evidence[planned.name] = known
        return known

    def _report_final(self, name: str) -> None:
        found = self._records.get(name)
        if found is not None and found[1].state.final:
            self._versions.record_final_state(name, found[1].state.value)
