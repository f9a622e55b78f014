"""One trial from start to end."""

import pathlib
import signal
import sys
import tempfile

import trio

from trial import deployment, launcher, options, processes


def run(chosen: options.Options) -> int:
    """Run a trial and return the exit code."""
    plan = deployment.DEPLOYMENTS[chosen.deployment]
    if chosen.small:
        plan = deployment.small(plan)
    octet, reservation = launcher.reserve_octet()
    with reservation, tempfile.TemporaryDirectory(prefix="trial-") as name:
        directory = pathlib.Path(name)
        started = processes.Processes(directory)
        places = deployment.assign_places(plan, octet, False)
        launch = launcher.Launcher(plan, places, started, directory, chosen.seed)
        try:
            return trio.run(_run, plan, places, launch)
        except* launcher.LaunchError as group:
            for exc in group.exceptions:
                print(f"error: {exc}", file=sys.stderr)
        finally:
            started.end_all()
    return 1


async def _run(
    plan: deployment.Deployment,
    places: deployment.Places,
    launch: launcher.Launcher,
) -> int:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        await launch.start_stand_ins()
        await launch.start_daemons()
        print(await launch.apply_initial_rules())
        await launch.wait_serving(20)
        _print_commands(plan, places, launch)
        await trio.sleep_forever()
    return 0


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def _print_commands(
    plan: deployment.Deployment,
    places: deployment.Places,
    launch: launcher.Launcher,
) -> None:
    vm = f"http://{places.vms[0].host}:{deployment.VM_PORT}"
    name, key = next(iter(launch.keys.items()))
    _, method, path = plan.services[0].view
    token = launch.operator_headers["Authorization"]
    print(f"# key {name}")
    print(f"curl -i -X {method} -H 'Authorization: Bearer {key}' {vm}{path}/1")
    print(f"curl -i {vm}{plan.services[0].open[2]}")
    print(f"curl -s '{vm}/.rattanlug/lookup?client=127.0.0.1'")
    print(f"curl -s -H 'Authorization: {token}' {vm}/.rattanlug/rules")
    print(f"curl -s {vm}/.rattanlug/metrics", flush=True)
