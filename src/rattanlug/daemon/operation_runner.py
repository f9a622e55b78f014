"""Performs the steps of operations on ``once`` routes."""

import collections
import logging
from collections.abc import Awaitable, Callable

import trio

from rattanlug.errors import error, executed, kind
from rattanlug.idempotency import (
    await_answer,
    operation,
    outcome,
    read_record,
    record,
    refuse,
    reply,
    send_request,
    send_result,
    store_result,
    store_status,
    write_record,
)
from rattanlug.table_service import client, group_commit, write
from rattanlug.table_service import error as platform_error

Send = Callable[[], Awaitable[send_result.SendResult]]

_STORE_TIMEOUT_SECONDS = 1.5
# Part of the time that is left which one step of the store may take before the caller
# is answered. A claim whose answer is lost is read back, and there has to be time for
# both and for the caller to try another VM.
_STORE_PART = 0.45
_SHORTEST_STORE_TIMEOUT_SECONDS = 0.05
MAX_REMEMBERED = 10_000
MAX_REMEMBERED_BYTES = 16 * 1024 * 1024
# While the store is down, records are followed up for ten minutes; without a bound,
# a busy VM would collect tens of thousands of them.
MAX_ACTIVE = 1000
_LOG = logging.getLogger(__name__)


class OperationRunner:
    """Runs operations to their end, also after the caller has gone.

    Parameters
    ----------
    platform : client.PlatformClient
    commits : group_commit.GroupCommit
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        platform: client.PlatformClient,
        commits: group_commit.GroupCommit,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._commits = commits
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._active = 0
        self._remembered_bytes = 0
        self._remembered: collections.OrderedDict[str, record.OperationRecord] = (
            collections.OrderedDict()
        )

    @property
    def active(self) -> int:
        """Operations whose record is not final yet."""
        return self._active

    def remembered(self, key: str) -> record.OperationRecord | None:
        """Return the final record of an operation that this VM holds in memory."""
        return self._remembered.get(key)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Own the operations until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start(
        self, key: str, steps: operation.Operation, send: Send, deadline: float
    ) -> trio.MemoryReceiveChannel:
        """Start an operation; its answer arrives on the channel that is returned.

        The operation goes on when the caller has left, so that its record becomes
        final and a repeat gets the recorded answer.

        Parameters
        ----------
        key : str
            Key of the record.
        steps : operation.Operation
        send : callable
            Coroutine function that sends the request once.
        deadline : float
            When the caller stops waiting, on the clock of the runner, seconds. The
            answer arrives earlier, whatever state the store is in.

        Returns
        -------
        trio.MemoryReceiveChannel
            Yields one ``reply.Reply`` or ``refuse.Refuse``.
        """
        sender, receiver = trio.open_memory_channel(1)
        if self._active >= MAX_ACTIVE:
            sender.send_nowait(
                refuse.Refuse(kind.ErrorKind.PLATFORM_UNAVAILABLE, executed.Executed.NO)
            )
            return receiver
        self._active += 1
        self._nursery.start_soon(self._drive, key, steps, send, deadline, sender)
        return receiver

    async def _drive(
        self,
        key: str,
        steps: operation.Operation,
        send: Send,
        deadline: float,
        answers: trio.MemorySendChannel,
    ) -> None:
        answered, sent = False, False
        try:
            step = steps.start(self._clock())
            late = send_result.SendResult(outcome.Outcome.UNKNOWN)
            answered = False
            while step is not None:
                result = None
                if isinstance(step, reply.Reply | refuse.Refuse):
                    answered = True
                    answers.send_nowait(step)
                elif isinstance(step, read_record.ReadRecord):
                    timeout = self._store_timeout(deadline, answered)
                    result = await self._read(step, timeout)
                elif isinstance(step, write_record.WriteRecord):
                    timeout = self._store_timeout(deadline, answered)
                    result = await self._write(step, timeout)
                elif isinstance(step, send_request.SendRequest):
                    sent = True
                    result = late = await send()
                elif isinstance(step, await_answer.AwaitAnswer):
                    # The connection is closed by now, so nothing more will arrive.
                    result = late
                step = steps.resume(result, self._clock())
        except Exception:
            # One operation must not end the others; its record stays as it is.
            _LOG.exception("an operation failed unexpectedly")
            if not answered:
                did_run = executed.Executed.UNKNOWN if sent else executed.Executed.NO
                answers.send_nowait(
                    refuse.Refuse(kind.ErrorKind.UPSTREAM_FAILED, did_run)
                )
        finally:
            self._active -= 1
            if steps.done_record is not None:
                self._remember(key, steps.done_record)

    def _store_timeout(self, deadline: float, answered: bool) -> float:
        if answered:
            return _STORE_TIMEOUT_SECONDS
        part = _STORE_PART * (deadline - self._clock())
        return min(_STORE_TIMEOUT_SECONDS, max(_SHORTEST_STORE_TIMEOUT_SECONDS, part))

    async def _read(
        self, step: read_record.ReadRecord, timeout: float
    ) -> store_result.StoreResult:
        try:
            found = await self._platform.get(record.TABLE, step.key, timeout=timeout)
        except error.PlatformError:
            return store_result.StoreResult(store_status.StoreStatus.FAILED)
        if found is None:
            return store_result.StoreResult(store_status.StoreStatus.OK)
        return store_result.StoreResult(
            store_status.StoreStatus.OK,
            found.revision,
            record.OperationRecord.from_json(found.value),
        )

    async def _write(
        self, step: write_record.WriteRecord, timeout: float
    ) -> store_result.StoreResult:
        await trio.sleep(step.delay)
        wanted = write.Write(
            record.TABLE, step.key, step.expected, step.value.to_json()
        )
        try:
            revision = await self._commits.commit(wanted, timeout=timeout)
        except platform_error.ConflictError as exc:
            value = None
            if exc.row.value is not None:
                value = record.OperationRecord.from_json(exc.row.value)
            return store_result.StoreResult(
                store_status.StoreStatus.CONFLICT, exc.row.revision, value
            )
        except platform_error.PlatformError as exc:
            status = (
                store_status.StoreStatus.LOST
                if exc.maybe_applied
                else store_status.StoreStatus.FAILED
            )
            return store_result.StoreResult(status)
        return store_result.StoreResult(
            store_status.StoreStatus.OK, revision, step.value
        )

    def _remember(self, key: str, final: record.OperationRecord) -> None:
        earlier = self._remembered.pop(key, None)
        self._remembered[key] = final
        self._remembered_bytes += _size(final) - _size(earlier)
        while (
            len(self._remembered) > MAX_REMEMBERED
            or self._remembered_bytes > MAX_REMEMBERED_BYTES
        ):
            _, dropped = self._remembered.popitem(last=False)
            self._remembered_bytes -= _size(dropped)


def _size(final: record.OperationRecord | None) -> int:
    if final is None or final.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in final.answer.headers)
    return len(final.answer.body) + headers
