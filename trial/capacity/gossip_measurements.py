"""Gossip in virtual time: traffic, and dissemination of changes and failures."""

import gc
import math
import random
import time
from collections.abc import Mapping

from rattanlug.membership import member, member_state, update, view
from rattanlug.peer import codec, framing, gossip_exchange
from rattanlug.peer.generated import ttypes
from trial.capacity import fleet, registry, report, resident

_LOSS = 0.01
#: VMs and data centres. The rows of six data centres show whether traffic grows with
#: the number of members, those of 44 what it costs to have more data centres.
_SIZES = ((10, 6), (50, 6), (100, 6), (200, 6), (220, 44), (528, 44), (1000, 9))
_TRIALS = 3


@registry.measurement("gossip")
def measure_gossip(values: Mapping[str, float]) -> report.Report:
    """Measure the traffic of a daemon and the dissemination of changes and failures."""
    rows, figures = [], {}
    for vms, data_centres in _SIZES:
        simulation = fleet.Fleet(vms, data_centres, loss=_LOSS)
        simulation.run(2)
        traffic = simulation.measure(4 if vms >= 500 else 10)
        changes = [_spread_change(simulation, version) for version in range(1, 4)]
        false_deaths = _count_dead(simulation)
        ages = _sample_ages(simulation, 3)
        deaths = [_spread_death(simulation) for _ in range(_TRIALS)]
        rows.append(
            [
                vms,
                data_centres,
                traffic.messages_s,
                traffic.bytes_s,
                traffic.wire_bytes_s,
                f"{traffic.cpu:.3%}",
                max(changes),
                max(deaths),
                false_deaths,
                ages[len(ages) // 2],
                ages[-1],
            ]
        )
        figures[f"gossip_bytes {vms}"] = traffic.wire_bytes_s
        figures[f"gossip_cpu {vms}"] = traffic.cpu
        figures[f"change_s {vms}"] = max(changes)
        figures[f"death_s {vms}"] = max(deaths)
        figures[f"age_s {vms}"] = ages[-1]
    return report.Report(
        [
            "VMs",
            "data centres",
            "messages/s",
            "frame bytes/s",
            "with TCP/IP headers (estimate)",
            "processor",
            "change known to all, worst of 3, s",
            "death known to all, worst of 3, s",
            "live VMs held dead",
            "information age, median, s",
            "information age, worst, s",
        ],
        rows,
        figures,
    )


@registry.measurement("gossip, decisions alone")
def measure_decisions(values: Mapping[str, float]) -> report.Report:
    """Measure dissemination at a size where encoding would take too long."""
    return _measure_decisions(1998, 18)


@registry.measurement("gossip, decisions alone at 4,884 VMs", on_demand=True)
def measure_all_decisions(values: Mapping[str, float]) -> report.Report:
    """Measure dissemination in the fleet expected in two years; takes 8 GB."""
    return _measure_decisions(4884, 44)


def _measure_decisions(vms, data_centres):
    simulation = fleet.Fleet(vms, data_centres, loss=_LOSS, use_codec=False)
    simulation.run(1)
    change = _spread_change(simulation, 1)
    death = _spread_death(simulation)
    live = len(simulation.views) - len(simulation.stopped)
    return report.Report(
        [
            "VMs",
            "data centres",
            "change known to all, s",
            "death known to all, s",
            "live VMs held dead",
            "memory of all views, MB",
        ],
        [
            [
                vms,
                data_centres,
                change,
                death,
                _count_dead(simulation) - live,
                resident.resident_mb(),
            ]
        ],
        {f"change_s {vms}": change, f"death_s {vms}": death},
    )


def _spread_change(simulation, version):
    started = simulation.now
    changed_vm = next(vm for vm in simulation.views if vm not in simulation.stopped)
    simulation.views[changed_vm].set_own(simulation.now, config_version=version)
    live = [v for vm, v in simulation.views.items() if vm not in simulation.stopped]
    reached = simulation.run(
        30, lambda: all(v.own.config_version >= version for v in live)
    )
    return simulation.now - started if reached else math.inf


def _spread_death(simulation):
    stopped_vm = [vm for vm in simulation.views if vm not in simulation.stopped][-1]
    simulation.stopped.add(stopped_vm)
    started = simulation.now
    live = [v for vm, v in simulation.views.items() if vm not in simulation.stopped]
    reached = simulation.run(30, lambda: all(v.get(stopped_vm).dead for v in live))
    return simulation.now - started if reached else math.inf


def _sample_ages(simulation, seconds):
    # Ages of remote data centres at all VMs, sampled ten times a second.
    samples = []
    for _ in range(seconds * 10):
        simulation.run(0.1)
        for vm in simulation.views:
            if vm not in simulation.stopped:
                ages = simulation.ages(vm)
                del ages[simulation.records[vm].data_centre]
                samples += ages.values()
    return sorted(samples)


def _count_dead(simulation):
    return sum(
        simulation.views[vm].get(other) is None or simulation.views[vm].get(other).dead
        for vm in simulation.views
        for other in simulation.views
    )


@registry.measurement("restarts")
def measure_restarts(values: Mapping[str, float]) -> report.Report:
    """Measure the bytes that each daemon sends and receives per restart of a VM."""
    rows, figures = [], {}
    for vms in (50, 100, 200, 400):
        simulation = fleet.Fleet(vms, 6)
        simulation.run(2)
        idle = simulation.measure(10)
        events = 10
        for vm in list(simulation.views)[:events]:
            simulation.restart(vm)
            simulation.run(0.1)
        busy = simulation.measure(10)
        extra = (busy.bytes_s - idle.bytes_s) * 10 / events
        known = all(
            simulation.views[vm].get(other).incarnation
            == simulation.records[other].incarnation
            for vm in simulation.views
            for other in simulation.views
        )
        rows.append([vms, idle.bytes_s, extra, "yes" if known else "no"])
        figures[f"restart_bytes {vms}"] = extra
    return report.Report(
        [
            "VMs",
            "idle, frame bytes/s",
            "extra bytes for each restart, at each daemon",
            "known to all after 10 s",
        ],
        rows,
        figures,
    )


@registry.measurement("membership of 4,900")
def measure_large_view(values: Mapping[str, float]) -> report.Report:
    """Measure a view that contains the fleet expected in two years."""
    data_centres, per_centre = 44, 111
    updates = [
        update.Update(
            vm := f"entry-{i:04d}.region{c // 2:02d}-{c % 2 + 1}",
            1_790_000_000_000,
            0.0,
            record=member.Member(
                vm,
                f"region{c // 2:02d}-{c % 2 + 1}",
                (f"10.{c}.0.{i}", 8080),
                (f"10.{c}.0.{i}", 8081),
                1_790_000_000_000,
                member_state.MemberState.SERVING,
                protocol_version=1,
            ),
        )
        for c in range(data_centres)
        for i in range(per_centre)
    ]
    rng = random.Random(1)
    source = view.MembershipView(updates[0].record, 0.0)
    source.merge(updates, 0.0, bootstrap=True)
    source_exchange = gossip_exchange.GossipExchange(source, rng)
    gc.collect()
    before = resident.resident_mb()
    joining_view = view.MembershipView(updates[1].record, 0.0)
    joining_exchange = gossip_exchange.GossipExchange(joining_view, rng)
    started, page_bytes, after = time.process_time(), 0, ""
    while True:
        page = source_exchange.make_page(ttypes.FetchMembers(after), 0.0)
        data = codec.encode(1, "vm", page)
        page_bytes += len(framing.frame(data))
        after = joining_exchange.merge_page(codec.decode(data).message, 0.0)
        if not after:
            break
    join_s = time.process_time() - started
    del page, data
    gc.collect()
    memory = resident.resident_mb() - before
    base_mb = before
    rounds = 400
    started = time.process_time()
    for round_number in range(rounds):
        now = 1.0 + round_number * fleet.ROUND_S
        joining_view.next_peers(now, rng)
        for _ in range(8):
            request = joining_exchange.make_request("x", now)
            response = source_exchange.handle_request(request, updates[1].vm, now)
            joining_exchange.handle_response(response, updates[0].vm, now, now)
    # The loop runs both ends of eight exchanges. A daemon runs one end of eight, four
    # as the requester and four as the responder: half of the measured time.
    cpu = (time.process_time() - started) / rounds / fleet.ROUND_S / 2
    return report.Report(
        ["what", "measured", "unit"],
        [
            ["members", len(updates), ""],
            ["interpreter with this code and one other view", base_mb, "MB"],
            ["resident growth of one view", memory, "MB"],
            ["list of members for a starting VM, frames", page_bytes, "bytes"],
            ["both ends of that list", join_s * 1e3, "ms"],
            ["decisions of one daemon without the codec", cpu * 100, "% of a core"],
        ],
        {
            "view_mb": memory,
            "base_mb": base_mb,
            "view_cpu": cpu,
            "join_bytes": page_bytes,
            "join_s": join_s,
        },
    )


@registry.measurement("spread at 4,900 (model)")
def measure_model(values: Mapping[str, float]) -> report.Report:
    """Simulate contacts only, at sizes whose full views do not fit in memory."""
    rows, figures = [], {}
    for data_centres, per_centre in ((6, 33), (9, 111), (18, 111), (44, 111)):
        times = [_model_spread(data_centres, per_centre, seed) for seed in range(3)]
        rows.append([data_centres * per_centre, data_centres, max(times)])
        figures[f"model_s {data_centres * per_centre}"] = max(times)
    return report.Report(
        ["VMs", "data centres", "change known to all, worst of 3, s (model)"],
        rows,
        figures,
    )


def _model_spread(data_centres, per_centre, seed):
    # The state of a VM is the time at which it has the change. Contacts follow
    # MembershipView.next_peers with the same loss; fetching the change takes 55 ms.
    rng = random.Random(seed)
    count = data_centres * per_centre
    informed_at = [math.inf] * count
    informed_at[0] = 0.0
    phase = [rng.uniform(0, fleet.ROUND_S) for _ in range(count)]
    round_number = 0
    while True:
        for now, vm in sorted(
            (round_number * fleet.ROUND_S + phase[i], i) for i in range(count)
        ):
            centre = vm // per_centre
            near = [centre * per_centre + rng.randrange(per_centre) for _ in range(3)]
            far = (centre + rng.randrange(1, data_centres)) % data_centres
            for peer in (*near, far * per_centre + rng.randrange(per_centre)):
                if rng.random() < 2 * _LOSS:
                    continue
                if informed_at[vm] <= now or informed_at[peer] <= now:
                    known_at = now + 0.055 + 0.0275
                    informed_at[vm] = min(informed_at[vm], known_at)
                    informed_at[peer] = min(informed_at[peer], known_at)
        if max(informed_at) < math.inf:
            return max(informed_at)
        round_number += 1
