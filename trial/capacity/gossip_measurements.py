"""Gossip in virtual time: traffic, spread of changes and deaths."""

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
#: VMs and data centres. The rows of six data centres show whether the bytes follow
#: the members, those of 44 what data centres cost.
_SIZES = ((10, 6), (50, 6), (100, 6), (200, 6), (220, 44), (528, 44), (1000, 9))
_TRIALS = 3


@registry.measurement("gossip")
def measure_gossip(values: Mapping[str, float]) -> report.Report:
    """Traffic of one daemon, and time until all know of a change and of a death."""
    rows, found = [], {}
    for vms, data_centres in _SIZES:
        members = fleet.Fleet(vms, data_centres, loss=_LOSS)
        members.run(2)
        traffic = members.measure(4 if vms >= 500 else 10)
        changes = [_spread_change(members, version) for version in range(1, 4)]
        false_deaths = _count_dead(members)
        ages = _sample_ages(members, 3)
        deaths = [_spread_death(members) for _ in range(_TRIALS)]
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
        found[f"gossip_bytes {vms}"] = traffic.wire_bytes_s
        found[f"gossip_cpu {vms}"] = traffic.cpu
        found[f"change_s {vms}"] = max(changes)
        found[f"death_s {vms}"] = max(deaths)
        found[f"age_s {vms}"] = ages[-1]
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
        found,
    )


@registry.measurement("gossip, decisions alone")
def measure_decisions(values: Mapping[str, float]) -> report.Report:
    """Spread a change and a death at a size where encoding would take too long."""
    return _measure_decisions(1998, 18)


@registry.measurement("gossip, decisions alone at 4,884 VMs", on_demand=True)
def measure_all_decisions(values: Mapping[str, float]) -> report.Report:
    """Spread a change and a death in a whole fleet of two years; takes 8 GB."""
    return _measure_decisions(4884, 44)


def _measure_decisions(vms, data_centres):
    members = fleet.Fleet(vms, data_centres, loss=_LOSS, use_codec=False)
    members.run(1)
    change = _spread_change(members, 1)
    death = _spread_death(members)
    live = len(members.views) - len(members.stopped)
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
                _count_dead(members) - live,
                resident.resident_mb(),
            ]
        ],
        {f"change_s {vms}": change, f"death_s {vms}": death},
    )


def _spread_change(members, version):
    started = members.now
    first = next(vm for vm in members.views if vm not in members.stopped)
    members.views[first].set_own(members.now, config_version=version)
    live = [v for vm, v in members.views.items() if vm not in members.stopped]
    reached = members.run(
        30, lambda: all(v.own.config_version >= version for v in live)
    )
    return members.now - started if reached else math.inf


def _spread_death(members):
    victim = [vm for vm in members.views if vm not in members.stopped][-1]
    members.stopped.add(victim)
    started = members.now
    live = [v for vm, v in members.views.items() if vm not in members.stopped]
    reached = members.run(30, lambda: all(v.get(victim).dead for v in live))
    return members.now - started if reached else math.inf


def _sample_ages(members, seconds):
    # Ages of other data centres than the own one, at all VMs, ten times a second.
    found = []
    for _ in range(seconds * 10):
        members.run(0.1)
        for vm in members.views:
            if vm not in members.stopped:
                ages = members.ages(vm)
                del ages[members.records[vm].data_centre]
                found += ages.values()
    return sorted(found)


def _count_dead(members):
    return sum(
        members.views[vm].get(other) is None or members.views[vm].get(other).dead
        for vm in members.views
        for other in members.views
    )


@registry.measurement("restarts")
def measure_restarts(values: Mapping[str, float]) -> report.Report:
    """Bytes that one daemon handles for each VM that restarts."""
    rows, found = [], {}
    for vms in (50, 100, 200, 400):
        members = fleet.Fleet(vms, 6)
        members.run(2)
        idle = members.measure(10)
        events = 10
        for vm in list(members.views)[:events]:
            members.restart(vm)
            members.run(0.1)
        busy = members.measure(10)
        extra = (busy.bytes_s - idle.bytes_s) * 10 / events
        known = all(
            members.views[vm].get(other).incarnation
            == members.records[other].incarnation
            for vm in members.views
            for other in members.views
        )
        rows.append([vms, idle.bytes_s, extra, "yes" if known else "no"])
        found[f"restart_bytes {vms}"] = extra
    return report.Report(
        [
            "VMs",
            "idle, frame bytes/s",
            "extra bytes for each restart, at each daemon",
            "known to all after 10 s",
        ],
        rows,
        found,
    )


@registry.measurement("membership of 4,900")
def measure_large_view(values: Mapping[str, float]) -> report.Report:
    """Memory and processor time of one view with all members of two years."""
    data_centres, per_centre = 44, 111
    news = [
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
    source = view.MembershipView(news[0].record, 0.0)
    source.merge(news, 0.0, bootstrap=True)
    giver = gossip_exchange.GossipExchange(source, rng)
    gc.collect()
    before = resident.resident_mb()
    members = view.MembershipView(news[1].record, 0.0)
    taker = gossip_exchange.GossipExchange(members, rng)
    started, page_bytes, after = time.process_time(), 0, ""
    while True:
        page = giver.make_page(ttypes.FetchMembers(after), 0.0)
        data = codec.encode(1, "vm", page)
        page_bytes += len(framing.frame(data))
        after = taker.merge_page(codec.decode(data).message, 0.0)
        if not after:
            break
    join_s = time.process_time() - started
    del page, data
    gc.collect()
    memory = resident.resident_mb() - before
    base_mb = before
    rounds = 400
    started = time.process_time()
    for turn in range(rounds):
        now = 1.0 + turn * fleet.ROUND_S
        members.next_peers(now, rng)
        for _ in range(8):
            request = taker.make_request("x", now)
            response = giver.handle_request(request, news[1].vm, now)
            taker.handle_response(response, news[0].vm, now, now)
    # The loop does both ends of eight exchanges, which is what one daemon does: four
    # as the asking end and four as the answering one.
    cpu = (time.process_time() - started) / rounds / fleet.ROUND_S / 2
    return report.Report(
        ["what", "measured", "unit"],
        [
            ["members", len(news), ""],
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
    """Simulate contacts alone, at sizes whose full views do not fit in memory."""
    rows, found = [], {}
    for data_centres, per_centre in ((6, 33), (9, 111), (18, 111), (44, 111)):
        times = [_model_spread(data_centres, per_centre, seed) for seed in range(3)]
        rows.append([data_centres * per_centre, data_centres, max(times)])
        found[f"model_s {data_centres * per_centre}"] = max(times)
    return report.Report(
        ["VMs", "data centres", "change known to all, worst of 3, s (model)"],
        rows,
        found,
    )


def _model_spread(data_centres, per_centre, seed):
    # One number for each VM; the contacts are those of MembershipView.next_peers,
    # with the same loss and, for each VM that learns, 55 ms to fetch the change.
    rng = random.Random(seed)
    count = data_centres * per_centre
    informed_at = [math.inf] * count
    informed_at[0] = 0.0
    phase = [rng.uniform(0, fleet.ROUND_S) for _ in range(count)]
    turn = 0
    while True:
        for now, vm in sorted(
            (turn * fleet.ROUND_S + phase[i], i) for i in range(count)
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
        turn += 1
