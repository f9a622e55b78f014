"""Tests of the rows that stay in force after a return of the store."""

import tracemalloc

from rattanlug.tables import held_rows, store_read, store_row

END = held_rows.REWRITE_SECONDS


def row(key, version, value=b"x", removed=False):
    return store_row.StoreRow(key, value, version, removed)


def read(version, *rows, at=0.0, era=1):
    return store_read.StoreRead(list(rows), version, 0.0, at, era)


def changed(rows, found, whole=True):
    return [(each.key, each.removed) for each in rows.changes(found, whole)]


def test_without_a_return_each_change_is_in_force_immediately():
    rows = held_rows.HeldRows()
    assert changed(rows, read(1, row("a", 1))) == [("a", False)]
    assert changed(rows, read(2)) == [("a", True)]
    assert changed(rows, read(3, row("a", 3)), whole=False) == [("a", False)]
    assert changed(rows, read(4, row("a", 4, b"", True)), False) == [("a", True)]


def test_a_row_of_an_earlier_version_is_ignored():
    rows = held_rows.HeldRows()
    rows.changes(read(5, row("a", 5)), True)
    assert changed(rows, read(5, row("a", 4)), whole=False) == []


def test_a_missing_row_stays_in_force_for_some_time():
    rows = held_rows.HeldRows()
    rows.changes(read(9, row("a", 8)), True)
    assert changed(rows, read(5, at=1.0, era=2)) == []
    assert rows.held == ["a"]
    assert changed(rows, read(5, at=1.0 + 0.9 * END, era=2), whole=False) == []
    assert changed(rows, read(5, at=1.0 + END, era=2), whole=False) == [("a", True)]
    assert rows.held == []


def test_a_row_that_was_replaced_or_removed_does_not_come_back():
    rows = held_rows.HeldRows()
    rows.changes(read(2, row("a", 1), row("b", 2)), True)
    rows.changes(read(9, row("a", 8, b"new"), row("b", 9, b"", True)), False)
    copied = read(5, row("a", 1), row("b", 2), at=1.0, era=2)
    assert changed(rows, copied) == []
    written = read(7, row("a", 6, b"new"), row("b", 7, b"", True), at=1.2, era=2)
    assert changed(rows, written, whole=False) == [("a", False), ("b", True)]
    assert changed(rows, read(7, at=9.0, era=2), whole=False) == []


# Guards against a row version that is given out again and taken for an earlier one.
def test_a_new_row_with_an_earlier_version_is_in_force_immediately():
    rows = held_rows.HeldRows()
    rows.changes(read(8, row("a", 8, b"first")), True)
    rows.changes(read(9, row("a", 9, b"second")), False)
    rows.changes(read(5, at=1.0, era=2), True)
    assert changed(rows, read(8, row("a", 8, b"third"), at=1.1, era=2), False) == [
        ("a", False)
    ]


def test_a_second_return_extends_the_time():
    rows = held_rows.HeldRows()
    rows.changes(read(9, row("a", 8)), True)
    rows.changes(read(5, at=1.0, era=2), True)
    assert changed(rows, read(5, at=2.0, era=3)) == []
    assert changed(rows, read(5, at=1.0 + END, era=3), whole=False) == []
    assert changed(rows, read(5, at=2.0 + END, era=3), whole=False) == [("a", True)]


# Guards against a daemon that is killed for its memory by operators who change a large
# row often: replaced rows are remembered, and no budget counts them.
def test_the_values_of_replaced_rows_are_not_kept():
    rows = held_rows.HeldRows()
    size = 65536
    tracemalloc.start()
    try:
        for version in range(100):
            value = bytes([version]) * size
            rows.changes(
                read(version, row("a", version, value), at=0.1 * version), True
            )
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used < 5 * size
