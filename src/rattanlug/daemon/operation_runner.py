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
# Share of the remaining time that one store operation may take before the caller gets
# its response. If the response to the first write is lost, the record is read back;
# the time has to suffice for both and for the caller to try another VM.
_STORE_TIMEOUT_SHARE = 0.45
_MIN_STORE_TIMEOUT_SECONDS = 0.05
MAX_CACHED_RECORDS = 10_000
MAX_CACHED_BYTES = 16 * 1024 * 1024
# While the store is down, each operation runs on for ten minutes to complete its
# record; without a bound, a busy VM would accumulate tens of thousands of them.
MAX_ACTIVE = 1000
_LOG = logging.getLogger(__name__)


class OperationRunner:
    """Runs operations to their end, also after the caller has disconnected.

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
        self._cached_bytes = 0
        self._cached: collections.OrderedDict[str, record.OperationRecord] = (
            collections.OrderedDict()
        )

    @property
    def active(self) -> int:
        """Operations whose record is not final yet."""
        return self._active

    def cached_record(self, key: str) -> record.OperationRecord | None:
        """Return the final record of an operation, or None if it is not cached."""
        return self._cached.get(key)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the operations that are started, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start(
        self, key: str, steps: operation.Operation, send: Send, deadline: float
    ) -> trio.MemoryReceiveChannel:
        """Start an operation; its reply arrives on the channel that is returned.

        The operation continues when the caller has disconnected, so that its record
        becomes final and a retry gets the recorded response.

        Parameters
        ----------
        key : str
            Key of the record.
        steps : operation.Operation
        send : callable
            Coroutine function that sends the request once.
        deadline : float
            When the caller stops waiting, on the clock of the runner, seconds. The
            reply arrives earlier, whatever state the store is in.

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
        self._nursery.start_soon(self._run_steps, key, steps, send, deadline, sender)
        return receiver

    async def _run_steps(
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
            last_result = send_result.SendResult(outcome.Outcome.UNKNOWN)
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
                    result = last_result = await send()
                elif isinstance(step, await_answer.AwaitAnswer):
                    # The connection is closed by now, so no later response can arrive.
                    result = last_result
                step = steps.resume(result, self._clock())
        except Exception:
            # The fault must not end the other operations; the record stays as it is.
            _LOG.exception("an operation failed unexpectedly")
            if not answered:
                execution = executed.Executed.UNKNOWN if sent else executed.Executed.NO
                answers.send_nowait(
                    refuse.Refuse(kind.ErrorKind.UPSTREAM_FAILED, execution)
                )
        finally:
            self._active -= 1
            if steps.done_record is not None:
                self._cache(key, steps.done_record)

    def _store_timeout(self, deadline: float, answered: bool) -> float:
        if answered:
            return _STORE_TIMEOUT_SECONDS
        part = _STORE_TIMEOUT_SHARE * (deadline - self._clock())
        return min(_STORE_TIMEOUT_SECONDS, max(_MIN_STORE_TIMEOUT_SECONDS, part))

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

    def _cache(self, key: str, final: record.OperationRecord) -> None:
        earlier = self._cached.pop(key, None)
        self._cached[key] = final
        self._cached_bytes += _size(final) - _size(earlier)
        while (
            len(self._cached) > MAX_CACHED_RECORDS
            or self._cached_bytes > MAX_CACHED_BYTES
        ):
            _, dropped = self._cached.popitem(last=False)
            self._cached_bytes -= _size(dropped)


def _size(final: record.OperationRecord | None) -> int:
    if final is None or final.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in final.answer.headers)
    return len(final.answer.body) + headers
