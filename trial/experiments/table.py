"""Tables and charts of measured runs."""

import html
import pathlib
import statistics

import pygal


def summarise(runs: list[dict[str, float]]) -> dict[str, tuple[float, float]]:
    """Return mean and standard deviation over the seeds of each quantity."""
    names = [n for n, v in runs[0].items() if not isinstance(v, str)]
    return {
        name: (
            statistics.fmean(run[name] for run in runs),
            statistics.stdev(run[name] for run in runs) if len(runs) > 1 else 0.0,
        )
        for name in names
    }


def order_columns(columns: list[str], first_columns: tuple[str, ...]) -> list[str]:
    """Return the columns, starting with ``first_columns``."""
    return [
        *(n for n in first_columns if n in columns),
        *(n for n in columns if n not in first_columns),
    ]


def render_text(rows: dict[str, dict[str, tuple[float, float]]], first_columns) -> str:
    """Return a Markdown table of means with standard deviations."""
    columns = order_columns(list(next(iter(rows.values()))), first_columns)
    lines = ["| | " + " | ".join(columns) + " |", "|---" * (len(columns) + 1) + "|"]
    for name, row in rows.items():
        cells = (f"{row[c][0]:.4g} ± {row[c][1]:.2g}" for c in columns)
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_report(
    path: pathlib.Path, title: str, rows, first_columns, charted_columns
) -> None:
    """Write an HTML page with one bar chart per charted quantity and the table."""
    charts = []
    for quantity in charted_columns:
        chart = pygal.Bar(width=700, height=320, show_legend=True, title=quantity)
        for name, row in rows.items():
            mean, deviation = row[quantity]
            chart.add(
                name,
                [
                    {
                        "value": mean,
                        "ci": {"low": mean - deviation, "high": mean + deviation},
                    }
                ],
            )
        charts.append(chart.render(is_unicode=True, disable_xml_declaration=True))
    body = html.escape(render_text(rows, first_columns))
    path.write_text(
        f"<!DOCTYPE html><meta charset='utf-8'><title>{html.escape(title)}</title>"
        f"<h1>{html.escape(title)}</h1>{''.join(charts)}<pre>{body}</pre>"
    )
