"""Block table, look-up function, and clients that move when a part fails."""

import gc
import ipaddress
import random
import time
import tracemalloc
from collections.abc import Mapping

from rattanlug.lookup import block_change, block_table, resolver
from trial.capacity import blocks, registry, report, resident

_MB = 1e6


@registry.measurement("block table")
def measure_table(values: Mapping[str, float]) -> report.Report:
    """Measure memory and load time by size, and time and bytes of a change."""
    rows = []
    rng = random.Random(3)
    for count in (100_000, 200_000, 400_000, 800_000, blocks.BLOCKS):
        data = blocks.make_table(count)
        started = time.perf_counter()
        table = block_table.BlockTable.from_bytes(data)
        load_s = time.perf_counter() - started
        load_peak_mb = _measure_load_peak(data)
        peak_mb = _measure_change_peak(table, rng)
        arrays_mb = count * table._ipv4.row_bytes / _MB
        change_ms = []
        for size in (1, 450):
            changes = [
                block_change.BlockChange(rng.getrandbits(24) << 8, 1)
                for _ in range(size)
            ]
            delta = block_table.pack_changes(table.version, changes)
            started = time.perf_counter()
            table.apply(delta)
            change_ms.append((time.perf_counter() - started) * 1e3)
        rows.append(
            [count, arrays_mb, load_peak_mb, peak_mb, load_s, *change_ms, len(delta)]
        )
    return report.Report(
        [
            "blocks",
            "arrays, MB",
            "peak while loading, without the file, MB",
            "peak during a change, MB",
            "load, s",
            "1 change, ms",
            "450 changes, ms",
            "450 changes, bytes",
        ],
        rows,
        {
            "table_mb": arrays_mb,
            "table_peak_mb": peak_mb,
            "table_load_s": load_s,
            "table_change_ms": change_ms[1],
        },
    )


def _measure_load_peak(data):
    tracemalloc.start()
    block_table.BlockTable.from_bytes(data)
    peak_mb = tracemalloc.get_traced_memory()[1] / _MB
    tracemalloc.stop()
    return peak_mb


def _measure_change_peak(table, rng):
    # While a change is applied, both the old and the new arrays are in memory.
    change = block_change.BlockChange(rng.getrandbits(24) << 8, 1)
    delta = block_table.pack_changes(table.version, [change])
    tracemalloc.start()
    table.apply(delta)
    peak_mb = tracemalloc.get_traced_memory()[1] / _MB
    tracemalloc.stop()
    return peak_mb + len(table) * table._ipv4.row_bytes / _MB


@registry.measurement("look-up function")
def measure_look_up(values: Mapping[str, float]) -> report.Report:
    """Measure a look-up and a change of the VMs at the size expected in two years."""
    centres = [f"dc-{index:02d}" for index in range(blocks.DATA_CENTRES)]
    table = block_table.BlockTable.from_bytes(blocks.make_table(blocks.BLOCKS))
    lookup_resolver = resolver.Resolver(table, blocks.make_sites(centres), centres[:3])
    gc.collect()
    before = resident.resident_mb()
    started = time.perf_counter()
    for data_centre in centres:
        lookup_resolver.set_vms(
            data_centre, blocks.make_vms(data_centre, blocks.VMS_PER_DATA_CENTRE)
        )
    rank_s = (time.perf_counter() - started) / len(centres)
    rank_mb = resident.resident_mb() - before
    rng = random.Random(4)
    addresses = [
        str(ipaddress.IPv4Address(rng.getrandbits(32))) for _ in range(200_000)
    ]
    resolve = lookup_resolver.resolve
    started = time.perf_counter()
    for address in addresses:
        resolve(address)
    mean_us = (time.perf_counter() - started) / len(addresses) * 1e6
    times = []
    for address in addresses:
        started = time.perf_counter_ns()
        resolve(address)
        times.append(time.perf_counter_ns() - started)
    times.sort()
    p50, p99 = (times[int(len(times) * share)] / 1e3 for share in (0.5, 0.99))
    vms = blocks.make_vms(centres[0], blocks.VMS_PER_DATA_CENTRE)
    changes = []
    for vm_names in (vms[:-1], vms):
        started = time.perf_counter()
        lookup_resolver.set_vms(centres[0], vm_names)
        changes.append((time.perf_counter() - started) * 1e3)
    return report.Report(
        ["what", "measured", "unit"],
        [
            ["one call, mean", mean_us, "µs"],
            ["calls a second on one core", 1e6 / mean_us, "1/s"],
            ["one call, median, clock included", p50, "µs"],
            ["one call, 99th percentile, clock included", p99, "µs"],
            ["ranks of 44 data centres of 111 VMs, resident growth", rank_mb, "MB"],
            ["ranks of one data centre, computed anew", rank_s * 1e3, "ms"],
            ["one VM goes", changes[0], "ms"],
            ["one VM comes", changes[1], "ms"],
        ],
        {
            "call_us": mean_us,
            "rank_mb": rank_mb,
            "rank_s": rank_s * len(centres),
            "vm_goes_ms": changes[0],
            "vm_comes_ms": changes[1],
        },
    )


@registry.measurement("clients that move")
def measure_moves(values: Mapping[str, float]) -> report.Report:
    """Measure how many clients get another first VM when a part fails and returns."""
    rows = []
    sizes = ((6, 2), (blocks.DATA_CENTRES, blocks.VMS_PER_DATA_CENTRE))
    for count, vms in sizes:
        rows += _measure_moved_clients(count, vms)
    return report.Report(
        [
            "fleet",
            "what goes",
            "its clients",
            "clients that move",
            "moved without need",
            "still moved after its return",
        ],
        rows,
    )


def _measure_moved_clients(data_centres, vms_per_centre):
    centres = [f"dc-{index:02d}" for index in range(data_centres)]
    sites = blocks.make_sites(centres)
    table = block_table.BlockTable.from_bytes(blocks.make_table(100_000))
    lookup_resolver = resolver.Resolver(table, sites, centres[:3])
    for data_centre in centres:
        lookup_resolver.set_vms(
            data_centre, blocks.make_vms(data_centre, vms_per_centre)
        )
    addresses = [str(ipaddress.IPv4Address(start)) for start in table._ipv4.starts[::2]]
    before = [lookup_resolver.resolve(address)[0] for address in addresses]
    vms = blocks.make_vms(centres[0], vms_per_centre)
    fleet = f"{data_centres} data centres, {vms_per_centre} VMs each"

    def row(failed_part, clients_of_part):
        during = [lookup_resolver.resolve(address)[0] for address in addresses]
        moved = {i for i, vm in enumerate(during) if vm != before[i]}
        return [
            fleet,
            failed_part,
            f"{len(clients_of_part) / len(addresses):.3%}",
            f"{len(moved) / len(addresses):.3%}",
            len(moved - clients_of_part),
        ]

    def finish(cells):
        after = [lookup_resolver.resolve(address)[0] for address in addresses]
        return [*cells, sum(map(str.__ne__, before, after))]

    clients_of_vm = {i for i, vm in enumerate(before) if vm == vms[0]}
    lookup_resolver.set_vms(centres[0], vms[1:])
    cells = row("one VM", clients_of_vm)
    lookup_resolver.set_vms(centres[0], vms)
    yield finish(cells)

    clients_of_site = {i for i, a in enumerate(addresses) if table.site_of(a) == 0}
    starts = [
        start
        for start, site in zip(table._ipv4.starts, table._ipv4.sites, strict=True)
        if site == 0
    ]
    target = next(s for s in sites if sites[s][0] != sites[0][0])
    for site in (target, 0):
        changes = [block_change.BlockChange(start, site) for start in starts]
        table.apply(block_table.pack_changes(table.version, changes))
        if site:
            cells = row("one site, to another site", clients_of_site)
    yield finish(cells)

    clients_of_data_centre = {i for i, vm in enumerate(before) if vm in vms}
    lookup_resolver.set_vms(centres[0], [])
    cells = row("one data centre", clients_of_data_centre)
    lookup_resolver.set_vms(centres[0], vms)
    yield finish(cells)
