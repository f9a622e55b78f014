"""At most one execution per identity, whatever is lost and whoever dies."""

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
    """One conditional row; a write may take effect after its answer was given up."""

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
            fate = self.rng.choice(("answered", "applied", "delayed", "dropped"))
            if fate == "applied":
                self.apply(write)
            elif fate == "delayed":
                self.delayed.append(write)
            if fate != "answered":
                return store_result.StoreResult(_LOST)
        return self.apply(write)

    def read(self):
        if self.mode == "down" or self.mode == "lossy" and self.rng.random() < 0.4:
            return store_result.StoreResult(_FAILED)
        return store_result.StoreResult(_OK, self.revision, self.value)


class Attempt:
    """The adapter around one operation, which may die between any two steps."""

    def __init__(self, world, number, operation_type):
        self.world, self.number = world, number
        token = f"attempt-{number}"
        claim = record.OperationRecord(state.State.INTENT, "d", "vm", number, token)
        limit = world.now + world.rng.choice((5.0, 1e9))
        self.operation = operation_type(KEY, claim, limit, world.counts)
        self.step = self.operation.start(world.now)
        self.ran = False
        self.told = None

    def advance(self):
        world, step = self.world, self.step
        if world.rng.random() < world.death_rate:
            return self.die(step, "before")
        result = self.perform(step)
        if world.rng.random() < world.death_rate:
            return self.die(step, "after")
        self.step = self.operation.resume(result, world.now)

    def die(self, step, when):
        name = type(step).__name__
        self.world.deaths[f"{when} {name}"] += 1
        self.world.trace.append(f"{self.number} dies {when} {name}")
        self.step = None

    def perform(self, step):
        world = self.world
        world.trace.append(f"{self.number} {type(step).__name__} ({world.store.mode})")
        match step:
            case write_record.WriteRecord():
                return world.store.write(step)
            case read_record.ReadRecord():
                return world.store.read()
            case send_request.SendRequest():
                return self.send()
            case await_answer.AwaitAnswer():
                known = self.ran and world.rng.random() < 0.5
                return self.answered() if known else _unknown()
            case reply.Reply():
                self.told = step.answer.body
            case refuse.Refuse():
                self.told = step
        return None

    def send(self):
        fate = self.world.rng.choice(("answered", "not_run", "cut_before", "cut_after"))
        if fate == "not_run":
            return send_result.SendResult(outcome.Outcome.NOT_RUN)
        if fate != "cut_before":
            self.ran = True
            self.world.executions.append(self.number)
        return self.answered() if fate == "answered" else _unknown()

    def answered(self):
        answer = recorded_answer.RecordedAnswer(200, (), b"%d" % self.number)
        return send_result.SendResult(outcome.Outcome.ANSWERED, answer)


def _unknown():
    return send_result.SendResult(outcome.Outcome.UNKNOWN)


class World:
    """Attempts on one identity, interleaved step by step."""

    def __init__(self, seed, operation_type=operation.Operation):
        self.rng = random.Random(seed)
        self.trace = []
        self.now = 0.0
        self.counts = violations.Violations()
        self.executions = []
        self.deaths = collections.Counter()
        self.death_rate = self.rng.choice((0.0, 0.05, 0.2))
        self.store = Store(self.rng, self.trace)
        self.operation_type = operation_type
        self.attempts = []

    def run(self):
        """Return the faults found, empty when all is well."""
        rng, wanted = self.rng, self.rng.randint(2, 5)
        for _ in range(400):
            busy = [attempt for attempt in self.attempts if attempt.step is not None]
            if rng.random() < 0.15:
                self.store.mode = rng.choice(("up", "up", "lossy", "down"))
            if self.store.delayed and rng.random() < 0.2:
                late = self.store.delayed
                self.store.apply(late.pop(rng.randrange(len(late))))
            self.now += rng.choice((0.01, 0.01, 0.5, 3.0))
            if len(self.attempts) < wanted and (not busy or rng.random() < 0.1):
                self.start()
            elif busy:
                rng.choice(busy).advance()
            else:
                break
        self.finish()
        return self.faults()

    def start(self):
        attempt = Attempt(self, len(self.attempts), self.operation_type)
        self.attempts.append(attempt)
        return attempt

    def finish(self):
        self.store.mode, self.death_rate = "up", 0.0
        for write in self.store.delayed:
            self.store.apply(write)
        self.store.delayed = []
        last = self.start()
        while last.step is not None and last.told is None:
            last.advance()

    def faults(self):
        result = []
        if len(self.executions) > 1:
            result.append(f"ran {len(self.executions)} times: {self.executions}")
        for attempt in self.attempts:
            told = attempt.told
            if isinstance(told, refuse.Refuse):
                if told.executed is executed.Executed.NO and attempt.ran:
                    result.append(f"{attempt.number} was told 'not run' but ran")
            elif told is not None and int(told) not in self.executions:
                result.append(f"{attempt.number} got an answer that nobody gave")
        last = self.attempts[-1]
        if self.executions and not last.ran and isinstance(last.told, refuse.Refuse):
            if last.told.error_kind is not kind.ErrorKind.OUTCOME_UNKNOWN:
                result.append(f"repeat after execution: {last.told}")
        if self.counts.total:
            result.append("run-time check failed")
        return result

    def last_result(self):
        told = self.attempts[-1].told
        if not isinstance(told, refuse.Refuse):
            return "answer"
        return told.error_kind.value


class ResendingOperation(operation.Operation):
    """Sends again when it finds the intent of an attempt that may have died."""

    def _decide(self, found, revision):
        if found is not None and found.state is state.State.INTENT:
            found = found._replace(attempt=self._claim.attempt)
        return super()._decide(found, revision)


class TrustingOperation(operation.Operation):
    """Goes on after a lost answer without reading the record back."""

    def _write_claim(self, expected):
        written = yield from super()._write_claim(expected)
        if written.status is store_status.StoreStatus.LOST:
            return store_result.StoreResult(_OK, expected + 1)
        return written


class ForgetfulOperation(operation.Operation):
    """States "not run" and marks the record so after an unknown outcome."""

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
    "no read-back": TrustingOperation,
    "unknown as not run": ForgetfulOperation,
}


def run_schedules(first_seed, schedules, operation_type=operation.Operation):
    """Return (failing worlds, results of the last repeat, deaths by step)."""
    failing, results, deaths = [], collections.Counter(), collections.Counter()
    for seed in range(first_seed, first_seed + schedules):
        world = World(seed, operation_type)
        faults = world.run()
        if faults:
            failing.append((seed, faults, world.trace))
        if world.executions:
            results[world.last_result()] += 1
        deaths += world.deaths
    return failing, results, deaths


def outage_shares(seed, operations=1000, vms=10):
    """Shares answered while the store is down: new, repeat here, repeat elsewhere."""
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

    homes = [rng.randrange(vms) for _ in range(operations)]
    for number, vm in enumerate(homes):
        assert request(number, vm, "up", f"first-{number}")
    here = [request(n, vm, "down", f"here-{n}") for n, vm in enumerate(homes)]
    away = [
        request(n, (vm + 1) % vms, "down", f"away-{n}") for n, vm in enumerate(homes)
    ]
    new = [
        request(operations + n, vm, "down", f"new-{n}") for n, vm in enumerate(homes)
    ]
    return [sum(answers) / operations for answers in (new, here, away)]


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=10_000)
    parser.add_argument("--mutant", choices=sorted(MUTANTS))
    options = parser.parse_args(argv)
    operation_type = MUTANTS.get(options.mutant, operation.Operation)
    failing, results, deaths = run_schedules(
        options.seed, options.schedules, operation_type
    )
    print(f"schedules {options.schedules}, failing {len(failing)}")
    print(f"last repeat after an execution: {dict(results)}")
    shares = outage_shares(options.seed)
    print(
        "answered while the store is down: new {:.0%}, repeat on the VM that "
        "answered {:.0%}, repeat elsewhere {:.0%}".format(*shares)
    )
    print(f"deaths: {dict(sorted(deaths.items()))}")
    for seed, faults, trace in failing[:1]:
        print(f"seed {seed}: {faults}", *trace, sep="\n  ")
    return bool(failing)


if __name__ == "__main__":
    raise SystemExit(main())
