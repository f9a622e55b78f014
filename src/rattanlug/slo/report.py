"""Burn report for operators, as text and as SVG."""

import datetime
from collections.abc import Iterable, Sequence

from pygal import style

from rattanlug.model import objective
from rattanlug.slo import burn, chart, evaluation, merged, series, snapshot, windows

# More lines in one chart can't be distinguished.
_MAX_LINES = 8


def render_text(
    snapshots: Sequence[snapshot.Snapshot],
    objectives: Iterable[objective.Objective],
    now: float,
) -> str:
    """Return the report as text, the most urgent line first.

    Parameters
    ----------
    snapshots : sequence of snapshot.Snapshot
        Counts of one or more VMs.
    objectives : iterable of objective.Objective
    now : float
        Time of the report, seconds since the epoch.

    Returns
    -------
    str
        A line for each organisation and route with its burn rates; ``!`` marks each
        pair of windows that fires.
    """
    evaluations = evaluation.evaluate(snapshots, objectives)
    lines = [_heading(snapshots, now), ""]
    lines += _table([_HEADER, *(_table_row(each) for each in evaluations)])
    if not evaluations:
        lines.append("no requests")
    dropped = sum(each["dropped"] for each in merged.newest_per_vm(snapshots))
    if dropped:
        lines += ["", f"{dropped} requests are counted under *overflow"]
    return "".join(f"{each}\n" for each in lines)


def render_svg(
    snapshots: Sequence[snapshot.Snapshot],
    objectives: Iterable[objective.Objective],
    now: float,
) -> str:
    """Return a chart of the burn rates of the last three days.

    Parameters
    ----------
    snapshots : sequence of snapshot.Snapshot
        Counts of one or more VMs.
    objectives : iterable of objective.Objective
    now : float
        Time of the report, seconds since the epoch.

    Returns
    -------
    str
        Self-contained SVG document: half-hourly burn rates of the most urgent
        organisations and routes with an objective.
    """
    evaluations = [
        each for each in evaluation.evaluate(snapshots, objectives) if each.rates
    ]
    shown = evaluations[:_MAX_LINES]
    buckets = max((len(each.series.history) for each in shown), default=1)
    drawing = chart.LineChart(
        title=_heading(snapshots, now),
        style=style.Style(font_family="sans-serif"),
        no_prefix=True,
        show_dots=False,
        include_x_axis=True,
        x_label_rotation=30,
        x_labels_major_every=max(1, buckets // 12),
        show_minor_x_labels=False,
        y_title="burn rate",
        no_data_text="no requests",
    )
    drawing.x_labels = [
        _time(now - age * series.HISTORY_BUCKET_S, "%d %H:%M")
        for age in reversed(range(buckets))
    ]
    for each in shown:
        rates = [
            burn.burn_rate(counted, each.objective.target) if counted.total else None
            for counted in each.series.history
        ]
        padded = rates + [None] * (buckets - len(rates))
        name = f"{each.series.organisation}/{each.series.route}"
        drawing.add(name, padded[::-1])
    return drawing.render(is_unicode=True)


_HEADER = (
    "state",
    "organisation",
    "route",
    "target",
    "limit",
    "requests",
    "failed",
    "slow",
    "p50",
    "p99",
    *(
        f"{windows.describe(each.short_s)}/{windows.describe(each.long_s)}"
        for each in windows.BURN_WINDOWS
    ),
)


def _table_row(each: evaluation.Evaluation):
    counted = each.series.windows[windows.WINDOW_LENGTHS_S[-1]]
    matching_objective = each.objective
    rates = [
        f"{rate.short:.3g}/{rate.long:.3g}{'!' if rate.fires else ''}"
        for rate in each.rates
    ] or ["-"] * len(windows.BURN_WINDOWS)
    return (
        each.severity,
        each.series.organisation,
        each.series.route,
        f"{matching_objective.target:g}" if matching_objective else "-",
        _duration(matching_objective.latency * 1e6) if matching_objective else "-",
        str(counted.total),
        str(counted.failed),
        str(counted.slow),
        _duration(each.series.latency.get_value_at_percentile(50)),
        _duration(each.series.latency.get_value_at_percentile(99)),
        *rates,
    )


def _table(rows):
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _heading(snapshots, now):
    vm_snapshots = merged.newest_per_vm(snapshots)
    covered = max((each["covered_s"] for each in vm_snapshots), default=0.0)
    covered = min(covered, windows.WINDOW_LENGTHS_S[-1])
    return (
        f"Burn rates at {_time(now, '%Y-%m-%dT%H:%M:%SZ')}, VMs: {len(vm_snapshots)}, "
        f"counts of the last {windows.describe(covered)}"
    )


def _duration(micros):
    if micros < 1e6:
        return f"{micros / 1e3:.3g} ms"
    return f"{micros / 1e6:.3g} s"


def _time(seconds, form):
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).strftime(form)
