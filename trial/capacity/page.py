"""Rewrites the tables of the capacity page."""

import re


def replace_table(page: str, name: str, table: str) -> str:
    """Replace what stands between the marks of a measurement.

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
        If the page does not have the marks exactly once.
    """
    pattern = rf"(<!-- measured: {re.escape(name)} -->\n).*?(<!-- end -->)"
    result, count = re.subn(
        pattern, lambda m: f"{m[1]}\n{table}\n\n{m[2]}", page, flags=re.DOTALL
    )
    if count != 1:
        raise ValueError(f"the page has the marks of {name} {count} times, not once")
    return result
