"""The block table, the look-up function, and who moves when a part goes."""

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
    """Memory and load time by size; time and bytes of a change."""
    rows = []
    rng = random.Random(3)
    for count in (100_000, 200_000, 400_000, 800_000, blocks.BLOCKS):
        data = blocks.make_table(count)
        started = time.perf_counter()
        table = block_table.BlockTable.from_bytes(data)
        load_s = time.perf_counter() - started
        loading = _measure_loading(data)
        peak = _measure_peak(table, rng)
        arrays = count * table._ipv4.row_bytes / _MB
        change_ms = []
        for size in (1, 450):
            changes = [
                block_change.BlockChange(rng.getrandbits(24) << 8, 1)
                for _ in range(size)
            ]
            step = block_table.pack_changes(table.version, changes)
            started = time.perf_counter()
            table.apply(step)
            change_ms.append((time.perf_counter() - started) * 1e3)
        rows.append([count, arrays, loading, peak, load_s, *change_ms, len(step)])
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
            "table_mb": arrays,
            "table_peak_mb": peak,
            "table_load_s": load_s,
            "table_change_ms": change_ms[1],
        },
    )


def _measure_loading(data):
    tracemalloc.start()
    block_table.BlockTable.from_bytes(data)
    peak = tracemalloc.get_traced_memory()[1] / _MB
    tracemalloc.stop()
    return peak


def _measure_peak(table, rng):
    # Both the old and the new arrays exist while a change is applied.
    change = block_change.BlockChange(rng.getrandbits(24) << 8, 1)
    step = block_table.pack_changes(table.version, [change])
    tracemalloc.start()
    table.apply(step)
    peak = tracemalloc.get_traced_memory()[1] / _MB
    tracemalloc.stop()
    return peak + len(table) * table._ipv4.row_bytes / _MB


@registry.measurement("look-up function")
def measure_look_up(values: Mapping[str, float]) -> report.Report:
    """Time of one call at the size of two years, and of a change of the VMs."""
    centres = [f"dc-{index:02d}" for index in range(blocks.DATA_CENTRES)]
    table = block_table.BlockTable.from_bytes(blocks.make_table(blocks.BLOCKS))
    function = resolver.Resolver(table, blocks.make_sites(centres), centres[:3])
    gc.collect()
    before = resident.resident_mb()
    started = time.perf_counter()
    for centre in centres:
        function.set_vms(centre, blocks.make_vms(centre, blocks.VMS_PER_DATA_CENTRE))
    rank_s = (time.perf_counter() - started) / len(centres)
    rank_mb = resident.resident_mb() - before
    rng = random.Random(4)
    addresses = [
        str(ipaddress.IPv4Address(rng.getrandbits(32))) for _ in range(200_000)
    ]
    resolve = function.resolve
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
    for chosen in (vms[:-1], vms):
        started = time.perf_counter()
        function.set_vms(centres[0], chosen)
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
    """Clients whose first VM changes when a part goes, and when it is back."""
    rows = []
    sizes = ((6, 2), (blocks.DATA_CENTRES, blocks.VMS_PER_DATA_CENTRE))
    for count, vms in sizes:
        rows += _measure_moves_of(count, vms)
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


def _measure_moves_of(data_centres, vms_per_centre):
    centres = [f"dc-{index:02d}" for index in range(data_centres)]
    sites = blocks.make_sites(centres)
    table = block_table.BlockTable.from_bytes(blocks.make_table(100_000))
    function = resolver.Resolver(table, sites, centres[:3])
    for centre in centres:
        function.set_vms(centre, blocks.make_vms(centre, vms_per_centre))
    addresses = [str(ipaddress.IPv4Address(start)) for start in table._ipv4.starts[::2]]
    before = [function.resolve(address)[0] for address in addresses]
    vms = blocks.make_vms(centres[0], vms_per_centre)
    fleet = f"{data_centres} data centres, {vms_per_centre} VMs each"

    def row(what, affected):
        during = [function.resolve(address)[0] for address in addresses]
        moved = {i for i, vm in enumerate(during) if vm != before[i]}
        return [
            fleet,
            what,
            f"{len(affected) / len(addresses):.3%}",
            f"{len(moved) / len(addresses):.3%}",
            len(moved - affected),
        ]

    def finish(cells):
        after = [function.resolve(address)[0] for address in addresses]
        return [*cells, sum(map(str.__ne__, before, after))]

    one = {i for i, vm in enumerate(before) if vm == vms[0]}
    function.set_vms(centres[0], vms[1:])
    cells = row("one VM", one)
    function.set_vms(centres[0], vms)
    yield finish(cells)

    of_site = {i for i, a in enumerate(addresses) if table.site_of(a) == 0}
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
            cells = row("one site, to another site", of_site)
    yield finish(cells)

    of_centre = {i for i, vm in enumerate(before) if vm in vms}
    function.set_vms(centres[0], [])
    cells = row("one data centre", of_centre)
    function.set_vms(centres[0], vms)
    yield finish(cells)
