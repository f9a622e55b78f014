"""One run of the soak test."""

import collections
import os
import pathlib
import random
import tempfile
from typing import NamedTuple

import trio

from soak import (
    caller_worker,
    callers,
    deployment,
    errors_on_purpose,
    faults,
    full_faults,
    guarantees,
    history,
    monitor,
    planned_work,
    processor_reading,
    processor_use,
    record,
    site_callers,
    site_faults,
    site_guarantees,
    sites,
    small_vm,
    stalls,
    supervisor,
    tally,
)
from trial.shared_platform import upstream

FAULT_FREE_SECONDS = 8.0
# Time from the end of the faults until nearly all requests succeed again; part of the
# fault-free time.
RECOVERY_SECONDS = 4.0
# Mean time between faults; most faults last longer, so that they overlap.
MEAN_FAULT_INTERVAL_SECONDS = 0.9
# The same for planned work.
MEAN_WORK_INTERVAL_SECONDS = 2.0

MEAN_BURST_INTERVAL_SECONDS = 3.0
# Processes that ran for less time are not reported.
_MIN_USE_SECONDS = 5.0
# Faults that no site plays: rates far below a site's load would leave little of it.
_NOT_OF_SITES = frozenset({"rate_lowered"})
# Impairments that a run has only if it is told to.
BESIDE: dict[str, faults.Fault] = {
    "store_returned": faults.store_returned,
    "vms_frozen": full_faults.vms_frozen,
}


class Options(NamedTuple):
    """Parameters of a run.

    Attributes
    ----------
    seed : int
    seconds : float
        Duration of fault injection.
    vms, upstreams : int
    first_vm_cpu_share : float
        CPU share of the first VM, which then receives all bursts of callers; 0 means
        no limit.
    site : str
        Name of a site, which decides the numbers; empty for none.
    only : str
        Parts of names, separated by commas; faults whose name contains one are played.
    rate : float
        Part of the site's rate of requests that callers have.
    daemon : str
        Checkout whose daemon is played, for instance of an earlier version; this one
        if empty.
    planned : bool
        Whether planned work is played in the place of faults, in calm.
    errors : str
        Names of errors on purpose that daemons make, separated by commas; see
        `erring_daemon`.
    error_interval : float
        Seconds from one error of a kind to the next.
    errors_after : float
        Seconds of planned work or faults without errors on purpose.
    beside : str
        Names of further impairments, separated by commas; see `BESIDE`.
    """

    seed: int
    seconds: float
    vms: int = 6
    upstreams: int = 9
    first_vm_cpu_share: float = 0.0
    site: str = ""
    only: str = ""
    rate: float = 1.0
    daemon: str = ""
    planned: bool = False
    errors: str = ""
    error_interval: float = 60.0
    errors_after: float = 0.0
    beside: str = ""


class Outcome(NamedTuple):
    """Result of a run.

    Attributes
    ----------
    requests, served : int
    injected : tuple of str
        Time and name of each fault, in order.
    broken : dict of str to list of str
        Violations by guarantee.
    logs : str
        Directory with the logs of the daemons.
    counts : dict of str to int
        What was played, and what was not judged, by name.
    verdict : str
        See `tally.verdict`.
    tally : dict of str to int
        Violations in the terms of users' reports.
    parts : dict of str to PartUse
        What each part of the run, and the busiest VM, got of a processor.
    short_parts : list of str
        Parts of the run that were short of a processor.
    load : list of float
        Load averages of the machine at the end.
    """

    requests: int
    served: int
    injected: tuple[str, ...]
    broken: dict[str, list[str]]
    logs: str
    counts: dict[str, int]
    verdict: str
    tally: dict[str, int]
    parts: dict[str, processor_use.PartUse]
    short_parts: list[str]
    load: list[float]


async def execute(options: Options) -> Outcome:
    """Execute one run and check its guarantees."""
    rng = random.Random(options.seed)
    site = sites.SITES[options.site] if options.site else sites.DEFAULT
    rate = options.rate * site.requests_per_second
    site = site._replace(requests_per_second=rate)
    observations = history.History(site)
    directory = tempfile.mkdtemp(prefix=f"rattanlug-soak-{options.seed}-")
    try:
        return await _execute(options, rng, observations, directory)
    except BaseException as exc:
        exc.add_note(f"logs of the daemons: {directory}")
        raise


async def _execute(
    options: Options,
    rng: random.Random,
    observations: history.History,
    directory: str,
) -> Outcome:
    site = observations.site
    playable = _faults(options)
    caller_class = site_callers.SiteCaller if options.site else callers.Caller
    injected: list[str] = []
    caller_workers: caller_worker.CallerWorkers | None = None
    async with trio.open_nursery() as nursery:
        deployed = deployment.Deployment(
            nursery,
            pathlib.Path(directory),
            observations,
            options.vms,
            # A separate generator: upstreams must not change the faults of a seed.
            random.Random(f"{options.seed} upstreams"),
            options.daemon,
            _start_module(options),
        )
        pids = {history.RUN: os.getpid()}
        try:
            await deployed.start(options.upstreams)
            nursery.start_soon(monitor.watch_processes, deployed)
            nursery.start_soon(stalls.watch, observations)
            if options.first_vm_cpu_share:
                first = deployed.vms[0]
                deployed.burst_targets = [first]
                nursery.start_soon(
                    small_vm.limit_cpu, deployed, first, options.first_vm_cpu_share
                )
            if site.workers:
                caller_workers = caller_worker.CallerWorkers(deployed, options.seed)
                deployed.start_callers = caller_workers.start
                deployed.start_burst = caller_workers.start_burst
                nursery.start_soon(caller_workers.run)
                caller_workers.start(site.requests_per_second)
            else:
                deployed.callers = site.callers
                for index in range(site.callers):
                    caller = caller_class(
                        index,
                        deployed,
                        random.Random(rng.random()),
                        site.requests_per_second,
                    )
                    nursery.start_soon(caller.run)
            if options.planned:
                nursery.start_soon(supervisor.run, deployed)
            errors = errors_on_purpose.ErrorsOnPurpose(
                pathlib.Path(directory),
                options.errors,
                options.error_interval,
                options.errors_after,
            )
            asking = trio.CancelScope()
            nursery.start_soon(errors.run, asking)
            await trio.sleep(2.0)
            pids.update(deployed.upstream_pids)
            if caller_workers:
                pids.update(caller_workers.pids)
            use_begin = processor_reading.read_parts(pids, trio.current_time())
            await play_faults(deployed, options, rng, playable, injected)
            asking.cancel()
            await run_for(observations, RECOVERY_SECONDS)
            observations.record_event(trio.current_time(), "calm")
            await trio.sleep(FAULT_FREE_SECONDS - RECOVERY_SECONDS)
            unexpected = deployed.unexpected_ends()
            use_end = processor_reading.read_parts(pids, trio.current_time())
            await stalls.settle()
            await deployed.collect()
            if caller_workers:
                await caller_workers.collect()
        finally:
            deployed.end()
            if caller_workers:
                caller_workers.end()
        nursery.cancel_scope.cancel()
    # Also to requests that ended while the run did.
    if not caller_workers:
        stalls.attribute(observations)
    executions: dict[str, list] = {}
    for each in deployed.executions():
        executions.setdefault(each.request_id, []).append(each)
    for each in deployed.all_upstreams():
        _observe(observations, each)
    broken = guarantees.broken(observations, executions)
    if unexpected:
        broken["processes_do_not_end_by_themselves"] = unexpected
    served = sum(each.status == 200 for each in observations.exchanges)
    record.write(pathlib.Path(directory) / "soak.jsonl", observations, deployed)
    counts = collections.Counter(each.kind for each in observations.events)
    counts.update(f"status {each.status}" for each in observations.exchanges)
    counts.update(site_guarantees.unjudged_closes(observations, executions))
    counts["no answer until the caller's deadline"] = sum(
        each.status is None and not each.closed_by_vm for each in observations.exchanges
    )
    counts["stalls"] = sum(
        end - begin > stalls.STALL_SECONDS
        for intervals in observations.stalls.values()
        for begin, end in intervals
    )
    counts["peak MB"] = round(max(observations.memory_mb.values(), default=0))
    counts["peak private MB"] = round(max(observations.private_mb.values(), default=0))
    if options.site:
        _count_upstreams(deployed, counts)
        share = site_guarantees.most_cold_share(observations)
        counts["percent of a cold limit"] = round(100 * share)
    for name, made in errors.made.items():
        counts[f"error on purpose {name}"] = made
    parts = {
        name or "run": processor_use.part_use(
            use_begin[name], use_end[name], observations.stalls[name]
        )
        for name in pids
    }
    seconds = use_end[history.RUN].at - use_begin[history.RUN].at
    short_parts = [name for name, each in parts.items() if each.is_short(seconds)]
    parts.update(_vm_use(observations))
    return Outcome(
        len(observations.exchanges),
        served,
        tuple(injected),
        broken,
        directory,
        dict(sorted(counts.items())),
        tally.verdict(broken, short_parts),
        tally.tally(broken),
        parts,
        short_parts,
        processor_use.machine_load(),
    )


def _start_module(options: Options) -> str:
    if options.errors:
        return deployment.ERRING_DAEMON
    if options.planned or not options.site or not sites.SITES[options.site].workers:
        return ""
    return deployment.STEPPED_CLOCK


def _vm_use(observations: history.History) -> dict[str, processor_use.PartUse]:
    """Return the use of the VM's process that ran, and that waited, most."""
    uses = {
        name: processor_use.part_use(first, last, [])
        for name, (first, last) in observations.processor.items()
        if last.at - first.at > _MIN_USE_SECONDS
    }
    if not uses:
        return {}
    return {
        "busiest VM": max(uses.values(), key=lambda each: each.share),
        "VM that waited most": max(uses.values(), key=lambda each: each.waiting),
    }


def _faults(options: Options) -> dict[str, faults.Fault]:
    playable = dict(faults.FAULTS)
    if options.planned:
        playable = dict(planned_work.FAULTS)
        if "early_answer" in options.errors:
            # Work that lasts until the time is nearly up.
            playable["upstreams_slow"] = site_faults.FAULTS["upstreams_slow"]
    elif options.site:
        playable.update(site_faults.FAULTS)
        if sites.SITES[options.site].workers:
            playable.update(full_faults.FAULTS)
        for each in _NOT_OF_SITES:
            del playable[each]
    for name in filter(None, options.beside.split(",")):
        playable[name] = BESIDE[name]
    chosen = options.only.split(",")
    return {
        name: each
        for name, each in playable.items()
        if any(part in name for part in chosen)
    }


def _observe(
    observations: history.History, registered: deployment.ProxiedUpstream
) -> None:
    """Add what an upstream recorded to the observations."""
    stand_in = registered.stand_in
    intervals = registered.tcp_proxy.disturbances
    observations.disturbances[stand_in.name].extend(intervals)
    observations.services[stand_in.name] = registered.service
    if not isinstance(stand_in, upstream.Upstream):
        name = f"{stand_in.name}, born {registered.born}"
        cold = [each for each in stand_in.arrivals if each.cold_for is not None]
        observations.cold_arrivals[name] = cold
        observations.cold_limits[name] = stand_in.cold_limit
        observations.broken_off.update(stand_in.broken_off)
        observations.sent_endlessly.update(stand_in.sent_endlessly)


def _count_upstreams(
    deployed: deployment.Deployment, counts: collections.Counter[str]
) -> None:
    for each in deployed.all_upstreams():
        counts["arrivals"] += len(each.stand_in.arrivals)
        counts["refused by upstreams"] += each.stand_in.refused
        counts["cold periods"] += each.stand_in.cold_periods
        counts["broken off"] += len(each.stand_in.broken_off)
        counts["sent without end"] += len(each.stand_in.sent_endlessly)
        counts["MB sent without end"] += each.stand_in.endless_bytes // 1_000_000


async def run_for(observations: history.History, seconds: float) -> None:
    """Wait until the run's process has run for some time, without its stalls."""
    begin = now = trio.current_time()
    while now < (
        until := begin
        + seconds
        + stalls.seconds_within(observations.stalls[history.RUN], begin, now)
    ):
        await trio.sleep_until(until)
        now = trio.current_time()


async def play_faults(
    deployed: deployment.Deployment,
    options: Options,
    rng: random.Random,
    playable: dict[str, faults.Fault],
    injected: list[str],
) -> None:
    """Inject faults, and bursts of callers meanwhile; return when all have ended."""
    async with trio.open_nursery() as bursts:
        # A separate generator: bursts must not change the faults of a seed.
        burst_rng = random.Random(f"{options.seed} bursts")
        if not options.planned:
            bursts.start_soon(_send_bursts, deployed, burst_rng)
        async with trio.open_nursery() as injections:
            seconds = options.seconds
            mean = (
                MEAN_WORK_INTERVAL_SECONDS
                if options.planned
                else MEAN_FAULT_INTERVAL_SECONDS
            )
            injections.start_soon(
                _inject, deployed, rng, seconds, playable, injected, mean
            )
            # Beside the faults of VMs, so that cold periods and restarts meet.
            upstream_rng = random.Random(f"{options.seed} upstream faults")
            names = {
                name: each
                for name, each in playable.items()
                if options.site and not options.planned and name.startswith("upstream")
            }
            if names:
                injections.start_soon(
                    _inject, deployed, upstream_rng, seconds, names, injected
                )
        bursts.cancel_scope.cancel()


async def _send_bursts(deployed: deployment.Deployment, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.expovariate(1.0 / MEAN_BURST_INTERVAL_SECONDS))
        await faults.send_disconnecting_burst(deployed, rng)


async def _inject(
    deployed: deployment.Deployment,
    rng: random.Random,
    seconds: float,
    playable: dict[str, faults.Fault],
    injected: list[str],
    mean_interval: float = MEAN_FAULT_INTERVAL_SECONDS,
) -> None:
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        while trio.current_time() - started_at < seconds:
            name = rng.choice(sorted(playable))
            injected.append(f"{trio.current_time() - started_at:.2f} {name}")
            nursery.start_soon(playable[name], deployed, random.Random(rng.random()))
            await trio.sleep(rng.expovariate(1.0 / mean_interval))
