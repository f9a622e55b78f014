"""The status of a VM as text."""

from typing import Any


def render(status: Any) -> str:
    """Return a status as human-readable text.

    Scalar values come first, one on each line, then a section for each list or mapping.
    Fields that the daemon adds later need no change here.

    Parameters
    ----------
    status : Any
        JSON value of ``/.rattanlug/status``.
    """
    if not isinstance(status, dict):
        return f"{_cell(status)}\n"
    plain = {k: v for k, v in status.items() if not isinstance(v, (dict, list))}
    lines = _pairs(plain)
    for name, value in status.items():
        if name not in plain:
            lines += ["", f"{name}: none" if not value else f"{name}:"]
            lines += [f"  {line}" for line in _section(value)]
    return "".join(f"{line}\n" for line in lines)


def _section(value):
    if isinstance(value, dict):
        return _pairs(value)
    if value and all(isinstance(each, dict) for each in value):
        return _table(value)
    return [_cell(each) for each in value]


def _pairs(values):
    width = max(map(len, values), default=0)
    return [f"{name.ljust(width)}  {_cell(value)}" for name, value in values.items()]


def _table(rows):
    header = list(dict.fromkeys(name for row in rows for name in row))
    cells = [header, *([_cell(row.get(name)) for name in header] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ", ".join(map(_cell, value)) or "none"
    return str(value)
