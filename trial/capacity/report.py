"""Result of a measurement."""

from typing import NamedTuple


class Report(NamedTuple):
    """Result of one measurement.

    Attributes
    ----------
    columns : list of str
    rows : list of list
        Strings and numbers, one for each column.
    values : dict of str to float
        Figures that later measurements use, by name.
    """

    columns: list[str]
    rows: list[list]
    values: dict[str, float] = {}

    def to_markdown(self) -> str:
        """Return the rows as a Markdown table."""
        lines = [self.columns, ["---"] * len(self.columns)]
        lines += [[_render(cell) for cell in row] for row in self.rows]
        return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _render(cell) -> str:
    if isinstance(cell, float):
        digits = 0 if abs(cell) >= 100 else 1 if abs(cell) >= 10 else 3
        return f"{cell:,.{digits}f}"
    return f"{cell:,}" if isinstance(cell, int) else str(cell)
