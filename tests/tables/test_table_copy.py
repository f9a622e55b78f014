"""Tests of copies of the store's tables."""

import random

import pytest

from rattanlug.tables import store_read, store_row, table_copy


def row(key, version, value=b"v", removed=False):
    return store_row.StoreRow(key, value, version, removed)


def read(version, *rows, sent_at=0.0, era=0):
    return store_read.StoreRead(list(rows), version, 0.0, sent_at, era)


def test_a_read_of_an_earlier_transaction_changes_neither_rows_nor_age():
    # After the store dropped its history, a read may return the state of some seconds
    # ago.
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 9), sent_at=1.0), whole=True)
    assert copy.apply_read(read(8, row("a", 5), sent_at=4.0), whole=True) is None
    assert copy.rows == [row("a", 9)]
    assert copy.age(4.0) == 3.0


def test_rows_missing_from_a_whole_read_are_removed_at_followers_too():
    copy = table_copy.TableCopy()
    copy.apply_read(read(5, row("a", 3), row("b", 4)), whole=True)
    assert copy.apply_read(read(7, row("a", 3)), whole=True)
    assert [each.key for each in copy.rows] == ["a"]
    assert copy.changes(5) == (False, [row("b", 7, b"", removed=True)])


def test_a_follower_at_a_version_before_the_known_changes_gets_the_whole_table():
    copy = table_copy.TableCopy()
    copy.apply_read(read(5, row("a", 3)), whole=True)
    assert copy.changes(-1) == (True, [row("a", 3)])
    assert copy.changes(4) == (True, [row("a", 3)])
    assert not copy.has_changes(5)
    assert copy.changes(5) == (False, [])


# Guards against followers that ask without a pause, until the store responds again,
# after a read whose pages were read at different times.
def test_a_row_newer_than_its_read_is_no_change_after_the_read():
    copy = table_copy.TableCopy()
    copy.apply_read(read(5, row("a", 3), row("b", 6)), whole=True)
    assert copy.has_changes(4)
    assert not copy.has_changes(5)
    assert copy.changes(5) == (False, [row("b", 6)])


def test_removed_rows_expire_and_late_followers_get_the_whole_table():
    copy = table_copy.TableCopy()
    copy.apply_read(read(0), whole=True)
    for version in range(1, table_copy.MAX_REMOVED + 3):
        copy.apply_read(
            read(version, row(f"{version}", version, removed=True)), whole=False
        )
    assert copy.changes(1)[0]
    whole, rows = copy.changes(copy.version - 3)
    assert not whole
    assert len(rows) == 3


@pytest.mark.parametrize("seed", range(200))
def test_a_chain_of_followers_converges_to_the_store_s_rows(seed):
    """Followers miss responses, change their source and restart with an empty copy."""
    rng = random.Random(seed)
    store, version = {}, 0
    copies = [table_copy.TableCopy() for _ in range(4)]

    def whole_read():
        return read(version, *[row(key, *each) for key, each in store.items()])

    def follow(index, source):
        whole, rows = source.changes(copies[index].version)
        copies[index].apply_read(read(source.version, *rows), whole)

    copies[0].apply_read(whole_read(), whole=True)
    for _ in range(60):
        version += 1
        key = rng.choice("abcdef")
        if key in store and rng.random() < 0.4:
            del store[key]
            change = row(key, version, b"", removed=True)
        else:
            store[key] = (version, bytes([rng.randrange(256)]))
            change = row(key, *store[key])
        if rng.random() < 0.2:
            copies[0].apply_read(whole_read(), whole=True)
        else:
            missed = copies[0].version < version - 1
            if missed:
                copies[0].apply_read(whole_read(), whole=True)
            else:
                copies[0].apply_read(read(version, change), whole=False)
        for index in range(1, 4):
            if rng.random() < 0.1:
                copies[index] = table_copy.TableCopy()
            if rng.random() < 0.6:
                source = copies[rng.randrange(index)]
                if source.version >= 0:
                    follow(index, source)
    copies[0].apply_read(whole_read(), whole=True)
    for index in range(1, 4):
        follow(index, copies[index - 1])
        found = {each.key: (each.version, each.value) for each in copies[index].rows}
        assert found == store


# Guards against a copy that keeps the rows of before a return of the store.
def test_a_whole_read_of_a_new_era_replaces_all_rows():
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 8), row("b", 9), era=1), whole=True)
    assert copy.apply_read(read(5, row("a", 5, b"old"), era=2), whole=True)
    assert (copy.era, copy.version) == (2, 5)
    assert copy.rows == [row("a", 5, b"old")]
    assert copy.apply_read(read(9, era=1), whole=True) is None
    assert copy.rows == [row("a", 5, b"old")]


def test_changes_of_a_new_era_alone_are_ignored():
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 8), era=1), whole=True)
    assert copy.apply_read(read(12, row("b", 12), era=2), whole=False) is None
    assert (copy.era, copy.version) == (1, 9)


def test_a_follower_at_an_earlier_era_gets_the_whole_table():
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 8), era=1), whole=True)
    copy.apply_read(read(5, row("b", 4), era=2), whole=True)
    assert copy.has_changes(9, 1)
    assert copy.changes(9, 1) == (True, [row("b", 4)])
    assert not copy.has_changes(5, 2)


def test_a_follower_at_a_later_era_waits():
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 8), era=1), whole=True)
    assert not copy.has_changes(5, 2)
    assert copy.changes(5, 2) == (False, [])


# A VM of the release before names no era.
def test_a_follower_without_an_era_is_served_by_its_version():
    copy = table_copy.TableCopy()
    copy.apply_read(read(9, row("a", 8), era=1), whole=True)
    assert not copy.has_changes(9)
    assert copy.has_changes(-1)


# Guards against a row that a follower, which read the store itself for a while, keeps
# for good: the VM that it follows never saw the row, which came and went between two
# whole reads.
def test_a_row_that_came_and_went_between_two_whole_reads_is_removed_at_followers():
    source, follower = table_copy.TableCopy(), table_copy.TableCopy()
    source.apply_read(read(1), whole=True)
    follower.apply_read(read(1), whole=True)
    follower.apply_read(read(2, row("a", 2)), whole=False)
    source.apply_read(read(3), whole=True)
    whole, rows = source.changes(follower.version)
    follower.apply_read(read(source.version, *rows), whole)
    assert follower.rows == []


# The same through a VM in between, which follows the one and is followed by the other.
def test_a_row_that_came_and_went_is_removed_through_a_chain_of_followers():
    copies = [table_copy.TableCopy() for _ in range(3)]
    for each in copies:
        each.apply_read(read(1), whole=True)
    copies[2].apply_read(read(2, row("a", 2)), whole=False)
    copies[0].apply_read(read(3), whole=True)
    for source, follower in zip(copies, copies[1:], strict=False):
        whole, rows = source.changes(follower.version)
        follower.apply_read(read(source.version, *rows), whole)
    assert copies[2].rows == []
