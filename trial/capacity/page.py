"""Replaces the tables of the capacity page."""

import re


def replace_table(page: str, name: str, table: str) -> str:
    """Replace the text between the markers of a measurement.

    Parameters
    ----------
    page : str
        Markdown with ``<!-- measured: name -->`` and ``<!-- end -->``.
    name : str
    table : str

    Returns
    -------
    str

    Raises
    ------
    ValueError
        If the page does not contain the markers exactly once.
    """
    pattern = rf"(<!-- measured: {re.escape(name)} -->\n).*?(<!-- end -->)"
    result, count = re.subn(
        pattern, lambda m: f"{m[1]}\n{table}\n\n{m[2]}", page, flags=re.DOTALL
    )
    if count != 1:
        raise ValueError(
            f"page contains the markers of {name} {count} times, expected once"
        )
    return result
