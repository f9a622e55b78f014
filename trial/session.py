"""One trial from start to end."""

import contextlib
import pathlib
import signal
import sys
import tempfile
from collections.abc import Iterator

import trio
from cattrs.preconf import json as json_converter

from trial import (
    clock,
    deployment,
    http_client,
    launcher,
    load_mix,
    options,
    processes,
    report,
)
from trial.caller import settings
from trial.checks import answers, evidence, execution, keys, limits
from trial.checks import registry as check_registry
from trial.steps import context, drains, moves, vms
from trial.steps import keys as key_steps
from trial.steps import registry as step_registry

# Importing these modules fills the registries.
_REGISTERED = (answers, execution, keys, limits, drains, moves, vms, key_steps)

_CONVERTER = json_converter.make_converter()
_READY_TIMEOUT_S = 90.0
_START_DELAY_S = 1.0
# Limits on each phase, so that a trial that hangs ends. Phases usually end before with
# an event, such as the last process being ready; on a slow machine they take longer.
_MAX_STARTUP_S = 120.0
_MAX_AFTER_LOAD_S = 30.0
_MAX_COLLECT_S = 60.0
# Time after the load for the last responses and for the caller to write its report.
_LAST_RESPONSES_S = 20.0


class Session:
    """A trial with its processes.

    Parameters
    ----------
    trial_options : options.Options
    octet : int
        Second octet of the loopback addresses.
    directory : pathlib.Path
    """

    def __init__(
        self, trial_options: options.Options, octet: int, directory: pathlib.Path
    ):
        plan = deployment.DEPLOYMENTS[trial_options.deployment]
        self._options = trial_options
        self._plan = deployment.small(plan) if trial_options.small else plan
        self._places = deployment.assign_places(
            self._plan, octet, not trial_options.small
        )
        self._directory = directory
        self._processes = processes.Processes(directory)
        self._launch = launcher.Launcher(
            self._plan, self._places, self._processes, directory, trial_options.seed
        )
        self._facts = evidence.Facts()
        self._context = context.Context(
            self._plan,
            self._places,
            self._launch,
            self._processes,
            self._facts,
            trial_options.seconds,
            trial_options.rate,
        )
        self._steps: list[report.StepResult] = []
        self._errors: list[str] = []

    def run(self) -> report.Result | None:
        """Run the trial; return None if it was interrupted or sent no load."""
        try:
            return trio.run(self._main)
        finally:
            self._processes.end_all()

    async def _main(self) -> report.Result | None:
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_signal, nursery.cancel_scope)
            if self._options.stay:
                await self._start_deployment()
                self._print_commands()
                await trio.sleep_forever()
            result = await self._measure()
            nursery.cancel_scope.cancel()
        return result

    async def _measure(self) -> report.Result:
        began = clock.now()
        caller_report = settings.CallerReport([], 0, 0, 0.0)
        records = {}
        try:
            with self._phase("starting the processes", _MAX_STARTUP_S):
                await self._start_deployment()
            with self._phase("the load", self._options.seconds + _MAX_AFTER_LOAD_S):
                caller_report = await self._send_load()
            with self._phase("collecting the records", _MAX_COLLECT_S):
                records = await self._collect()
        except (launcher.LaunchError, *http_client.FAILURES) as exc:
            self._errors.append(f"{type(exc).__name__}: {exc}")
        self._check_coverage(caller_report)
        run_evidence = evidence.Evidence(
            self._plan,
            self._places,
            self._launch.keys,
            self._launch.operator_token,
            caller_report,
            records,
            self._facts,
        )
        violations = self._check(run_evidence) if records else {}
        title = f"{self._plan.name}, seed {self._options.seed}, "
        title += f"{self._options.rate:g} requests/s for {self._options.seconds:g} s"
        return report.Result(
            title,
            caller_report,
            self._facts,
            violations,
            self._steps,
            self._errors,
            clock.now() - began,
        )

    @contextlib.contextmanager
    def _phase(self, name: str, limit: float) -> Iterator[None]:
        """Limit the time of a phase and print how long it took.

        Raises
        ------
        launcher.LaunchError
            The phase did not end in time.
        """
        began = clock.now()
        with trio.move_on_after(limit) as scope:
            yield
        if scope.cancelled_caught:
            raise launcher.LaunchError(f"{name} did not end within {limit:g} s")
        print(f"{name}: {clock.now() - began:.1f} s", file=sys.stderr)

    def _check(
        self, run_evidence: evidence.Evidence
    ) -> dict[str, check_registry.Violation]:
        """Return the violations by name of the check."""
        return check_registry.run_checks(run_evidence)

    async def _start_deployment(self) -> None:
        await self._launch.start_stand_ins()
        await self._launch.start_daemons()
        await self._launch.apply_initial_rules()
        await self._launch.wait_serving(_READY_TIMEOUT_S)

    async def _send_load(self) -> settings.CallerReport:
        start = clock.now() + _START_DELAY_S
        caller_settings = load_mix.build_settings(
            self._plan,
            self._places,
            self._launch.keys,
            seed=self._options.seed,
            start=start,
            seconds=self._options.seconds,
            rate=self._options.rate,
        )
        path = self._directory / "caller.json"
        path.write_text(_CONVERTER.dumps(caller_settings))
        output = self._directory / "caller-report.json"
        self._processes.start(
            "caller",
            ["-m", "trial", "caller", "--settings", str(path), "--output", str(output)],
        )
        async with trio.open_nursery() as nursery:
            chosen, omitted = self._choose_steps()
            for step in chosen:
                nursery.start_soon(self._run_step, step, start)
            for step in omitted:
                summary = "not part of a trial with so few VMs"
                self._steps.append(report.StepResult(step.name, summary, ""))
            code = await self._processes.wait(
                "caller", self._options.seconds + _START_DELAY_S + _LAST_RESPONSES_S
            )
        if code != 0:
            log = self._processes.read_log("caller")
            raise launcher.LaunchError(f"caller ended with {code}\n{log}")
        return _CONVERTER.loads(output.read_text(), settings.CallerReport)

    def _choose_steps(
        self,
    ) -> tuple[list[step_registry.Step], list[step_registry.Step]]:
        """Return the steps to carry out and those omitted."""
        return step_registry.choose_steps(len(self._places.vms))

    async def _run_step(self, step: step_registry.Step, start: float) -> None:
        due = start + step.at * self._options.seconds
        await trio.sleep(max(0.0, due - clock.now()))
        summary, failure = "", ""
        try:
            summary = await step.action(self._context)
        except* Exception as group:
            failure = "; ".join(_messages(group))
        self._steps.append(report.StepResult(step.name, summary, failure))

    async def _collect(self) -> dict[str, dict]:
        for place in self._context.live:
            code = self._processes.exit_code(place.vm)
            if code is None:
                await self._context.read_violations(place)
            else:
                log = self._processes.read_log(place.vm)
                self._errors.append(f"{place.vm} ended by itself with {code}\n{log}")
        return {
            each.name: await self._launch.read_record(each)
            for each in self._places.upstreams
        }

    def _check_coverage(self, caller_report: settings.CallerReport) -> None:
        """Record an error for each route kind without a success: it was not tested."""
        kinds = {
            each.route_kind for each in caller_report.outcomes if each.result == "ok"
        }
        for kind in sorted({"view", "once", "open"} - kinds):
            self._errors.append(f"no request on a {kind} route succeeded")

    async def _cancel_on_signal(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                scope.cancel()

    def _print_commands(self) -> None:
        vm = f"http://{self._places.vms[0].host}:{deployment.VM_PORT}"
        name, key = next(iter(self._launch.keys.items()))
        _, method, path = self._plan.services[0].view
        token = self._launch.operator_headers["Authorization"]
        print(f"# key {name}")
        print(f"curl -i -X {method} -H 'Authorization: Bearer {key}' {vm}{path}/1")
        print(f"curl -i {vm}{self._plan.services[0].open[2]}/1")
        print(f"curl -s '{vm}/.rattanlug/lookup?client=127.0.0.1'")
        print(f"curl -s -H 'Authorization: {token}' {vm}/.rattanlug/rules")
        print(f"curl -s {vm}/.rattanlug/metrics")
        host = self._places.vms[0].host
        target = f"--vm {host}:{deployment.VM_PORT}"
        target += f" --token-file {self._launch.write_token_file()}"
        command = "python -m rattanlug"
        print(f"{command} status {target}")
        print(f"{command} key withdraw {name} {target} --who you --why 'to try it'")
        print("# stop with Ctrl-C", flush=True)


def _messages(group: BaseExceptionGroup) -> Iterator[str]:
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _messages(exc)
        else:
            yield f"{type(exc).__name__}: {exc}"


def run(trial_options: options.Options) -> int:
    """Run a trial, print its result and return the exit code."""
    octet, reservation = launcher.reserve_octet()
    result, failures = None, []
    with reservation, tempfile.TemporaryDirectory(prefix="trial-") as name:
        try:
            result = Session(trial_options, octet, pathlib.Path(name)).run()
        except* launcher.LaunchError as group:
            failures = list(_messages(group))
    if result is None:
        print("\n".join(failures) or "interrupted", file=sys.stderr)
        return 0 if trial_options.stay and not failures else 1
    print(report.as_text(result))
    if trial_options.json:
        pathlib.Path(trial_options.json).write_text(
            _CONVERTER.dumps(report.as_data(result))
        )
    return result.exit_code
