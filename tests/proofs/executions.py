"""Simulates lost messages and crashes: at most one execution per identity."""

import argparse
import collections
import random

from rattanlug.errors import executed, kind
from rattanlug.idempotency import (
    await_answer,
    operation,
    outcome,
    read_record,
    recent_records,
    record,
    recorded_answer,
    refuse,
    reply,
    send_request,
    send_result,
    state,
    store_result,
    store_status,
    write_record,
)
from rattanlug.invariants import violations

KEY = "urdina/identity"
_OK, _CONFLICT = store_status.StoreStatus.OK, store_status.StoreStatus.CONFLICT
_FAILED, _LOST = store_status.StoreStatus.FAILED, store_status.StoreStatus.LOST


class Store:
    """One row with conditional writes, which may take effect after their time-out."""

    def __init__(self, rng, trace):
        self.rng, self.trace = rng, trace
        self.revision, self.value = 0, None
        self.delayed = []
        self.mode = "up"

    def apply(self, write):
        if write.expected != self.revision:
            return store_result.StoreResult(_CONFLICT, self.revision, self.value)
        self.revision += 1
        self.value = write.value
        self.trace.append(f"row {self.revision}: {write.value.state.value}")
        return store_result.StoreResult(_OK, self.revision)

    def write(self, write):
        if self.mode == "down":
            return store_result.StoreResult(self.rng.choice((_FAILED, _LOST)))
        if self.mode == "lossy":
            result_kind = self.rng.choice(("answered", "applied", "delayed", "dropped"))
            if result_kind == "applied":
                self.apply(write)
            elif result_kind == "delayed":
                self.delayed.append(write)
            if result_kind != "answered":
                return store_result.StoreResult(_LOST)
        return self.apply(write)

    def read(self):
        if self.mode == "down" or self.mode == "lossy" and self.rng.random() < 0.4:
            return store_result.StoreResult(_FAILED)
        return store_result.StoreResult(_OK, self.revision, self.value)


class Attempt:
    """The adapter around one operation, which may crash between any two steps."""

    def __init__(self, simulation, number, operation_type):
        self.simulation, self.number = simulation, number
        token = f"attempt-{number}"
        claim = record.OperationRecord(state.State.INTENT, "d", "vm", number, token)
        limit = simulation.now + simulation.rng.choice((5.0, 1e9))
        self.operation = operation_type(KEY, claim, limit, simulation.counts)
        self.step = self.operation.start(simulation.now)
        self.has_executed = False
        self.response = None

    def advance(self):
        simulation, step = self.simulation, self.step
        if simulation.rng.random() < simulation.crash_rate:
            return self.crash(step, "before")
        result = self.perform(step)
        if simulation.rng.random() < simulation.crash_rate:
            return self.crash(step, "after")
        self.step = self.operation.resume(result, simulation.now)

    def crash(self, step, when):
        name = type(step).__name__
        self.simulation.crashes[f"{when} {name}"] += 1
        self.simulation.trace.append(f"{self.number} crashes {when} {name}")
        self.step = None

    def perform(self, step):
        simulation = self.simulation
        simulation.trace.append(
            f"{self.number} {type(step).__name__} ({simulation.store.mode})"
        )
        match step:
            case write_record.WriteRecord():
                return simulation.store.write(step)
            case read_record.ReadRecord():
                return simulation.store.read()
            case send_request.SendRequest():
                return self.send()
            case await_answer.AwaitAnswer():
                known = self.has_executed and simulation.rng.random() < 0.5
                return self.answered() if known else _unknown()
            case reply.Reply():
                self.response = step.answer.body
            case refuse.Refuse():
                self.response = step
        return None

    def send(self):
        result_kind = self.simulation.rng.choice(
            ("answered", "not_run", "cut_before", "cut_after")
        )
        if result_kind == "not_run":
            return send_result.SendResult(outcome.Outcome.NOT_RUN)
        if result_kind != "cut_before":
            self.has_executed = True
            self.simulation.executions.append(self.number)
        return self.answered() if result_kind == "answered" else _unknown()

    def answered(self):
        answer = recorded_answer.RecordedAnswer(200, (), b"%d" % self.number)
        return send_result.SendResult(outcome.Outcome.ANSWERED, answer)


def _unknown():
    return send_result.SendResult(outcome.Outcome.UNKNOWN)


class Simulation:
    """Concurrent attempts at one identity, interleaved step by step."""

    def __init__(self, seed, operation_type=operation.Operation):
        self.rng = random.Random(seed)
        self.trace = []
        self.now = 0.0
        self.counts = violations.Violations()
        self.executions = []
        self.crashes = collections.Counter()
        self.crash_rate = self.rng.choice((0.0, 0.05, 0.2))
        self.store = Store(self.rng, self.trace)
        self.operation_type = operation_type
        self.attempts = []

    def run(self):
        """Return the failures found, empty if all checks pass."""
        rng, attempt_count = self.rng, self.rng.randint(2, 5)
        for _ in range(400):
            active = [attempt for attempt in self.attempts if attempt.step is not None]
            if rng.random() < 0.15:
                self.store.mode = rng.choice(("up", "up", "lossy", "down"))
            if self.store.delayed and rng.random() < 0.2:
                delayed_writes = self.store.delayed
                self.store.apply(delayed_writes.pop(rng.randrange(len(delayed_writes))))
            self.now += rng.choice((0.01, 0.01, 0.5, 3.0))
            if len(self.attempts) < attempt_count and (
                not active or rng.random() < 0.1
            ):
                self.start()
            elif active:
                rng.choice(active).advance()
            else:
                break
        self.finish()
        return self.failures()

    def start(self):
        attempt = Attempt(self, len(self.attempts), self.operation_type)
        self.attempts.append(attempt)
        return attempt

    def finish(self):
        self.store.mode, self.crash_rate = "up", 0.0
        for write in self.store.delayed:
            self.store.apply(write)
        self.store.delayed = []
        last = self.start()
        while last.step is not None and last.response is None:
            last.advance()

    def failures(self):
        result = []
        if len(self.executions) > 1:
            result.append(f"executed {len(self.executions)} times: {self.executions}")
        for attempt in self.attempts:
            response = attempt.response
            if isinstance(response, refuse.Refuse):
                if response.executed is executed.Executed.NO and attempt.has_executed:
                    result.append(
                        f"{attempt.number} was reported 'not run' but was executed"
                    )
            elif response is not None and int(response) not in self.executions:
                result.append(f"{attempt.number} got a response of no execution")
        last = self.attempts[-1]
        if (
            self.executions
            and not last.has_executed
            and isinstance(last.response, refuse.Refuse)
        ):
            if last.response.error_kind is not kind.ErrorKind.OUTCOME_UNKNOWN:
                result.append(f"retry after execution: {last.response}")
        if self.counts.total:
            result.append("run-time check failed")
        return result

    def last_result(self):
        response = self.attempts[-1].response
        if not isinstance(response, refuse.Refuse):
            return "answer"
        return response.error_kind.value


class ResendingOperation(operation.Operation):
    """Retries when it finds the intent of an attempt that may have crashed."""

    def _decide(self, found, revision):
        if found is not None and found.state is state.State.INTENT:
            found = found._replace(attempt=self._claim.attempt)
        return super()._decide(found, revision)


class NoReadBackOperation(operation.Operation):
    """Proceeds after a lost response without reading the record back."""

    def _write_claim(self, expected):
        written = yield from super()._write_claim(expected)
        if written.status is store_status.StoreStatus.LOST:
            return store_result.StoreResult(_OK, expected + 1)
        return written


class UnknownAsNotRunOperation(operation.Operation):
    """Reports an unknown outcome as not run, also in the record."""

    def _execute(self, revision):
        steps = super()._execute(revision)
        step = next(steps)
        while step is not None:
            result = yield step
            if isinstance(result, send_result.SendResult):
                if result.outcome is outcome.Outcome.UNKNOWN:
                    result = result._replace(outcome=outcome.Outcome.NOT_RUN)
            try:
                step = steps.send(result)
            except StopIteration:
                return


MUTANTS = {
    "resend": ResendingOperation,
    "no read-back": NoReadBackOperation,
    "unknown as not run": UnknownAsNotRunOperation,
}


def run_schedules(first_seed, schedules, operation_type=operation.Operation):
    """Return (failing schedules, results of the last retry, crashes by step)."""
    failing, results, crashes = [], collections.Counter(), collections.Counter()
    for seed in range(first_seed, first_seed + schedules):
        simulation = Simulation(seed, operation_type)
        failures = simulation.run()
        if failures:
            failing.append((seed, failures, simulation.trace))
        if simulation.executions:
            results[simulation.last_result()] += 1
        crashes += simulation.crashes
    return failing, results, crashes


def outage_shares(seed, operations=1000, vms=10):
    """Return shares answered in a store outage: new, retry on same VM, on other VM."""
    rng = random.Random(seed)
    stores, memory = {}, [recent_records.RecentRecords(2**24) for _ in range(vms)]

    def request(number, vm, mode, attempt):
        store = stores.setdefault(number, Store(rng, []))
        store.mode = mode
        claim = record.OperationRecord(state.State.INTENT, "d", "vm", 1, attempt)
        remembered = memory[vm].get(str(number))
        counts = violations.Violations()
        steps = operation.Operation("k", claim, 1e9, counts, remembered)
        step = steps.start(0.0)
        while not isinstance(step, reply.Reply | refuse.Refuse):
            if isinstance(step, send_request.SendRequest):
                answer = recorded_answer.RecordedAnswer(200, (), b"%d" % number)
                result = send_result.SendResult(outcome.Outcome.ANSWERED, answer)
            else:
                result = store.write(step) if hasattr(step, "value") else store.read()
            step = steps.resume(result, 0.0)
        if steps.done_record is not None:
            memory[vm].add(str(number), steps.done_record)
        return isinstance(step, reply.Reply)

    vm_indices = [rng.randrange(vms) for _ in range(operations)]
    for number, vm in enumerate(vm_indices):
        assert request(number, vm, "up", f"first-{number}")
    same_vm = [request(n, vm, "down", f"here-{n}") for n, vm in enumerate(vm_indices)]
    other_vm = [
        request(n, (vm + 1) % vms, "down", f"away-{n}")
        for n, vm in enumerate(vm_indices)
    ]
    new = [
        request(operations + n, vm, "down", f"new-{n}")
        for n, vm in enumerate(vm_indices)
    ]
    return [sum(answers) / operations for answers in (new, same_vm, other_vm)]


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=10_000)
    parser.add_argument("--mutant", choices=sorted(MUTANTS))
    options = parser.parse_args(argv)
    operation_type = MUTANTS.get(options.mutant, operation.Operation)
    failing, results, crashes = run_schedules(
        options.seed, options.schedules, operation_type
    )
    print(f"schedules {options.schedules}, failing {len(failing)}")
    print(f"last retry after an execution: {dict(results)}")
    shares = outage_shares(options.seed)
    print(
        "answered while the store is down: new {:.0%}, retry on the VM that "
        "answered {:.0%}, retry elsewhere {:.0%}".format(*shares)
    )
    print(f"crashes: {dict(sorted(crashes.items()))}")
    for seed, failures, trace in failing[:1]:
        print(f"seed {seed}: {failures}", *trace, sep="\n  ")
    return bool(failing)


if __name__ == "__main__":
    raise SystemExit(main())
