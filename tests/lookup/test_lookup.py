"""Tests of the block table and of the ranks against simple reference functions."""

import ipaddress
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from rattanlug.lookup import (
    block_change,
    block_table,
    rank_table,
    ranking,
    resolver,
    sorted_blocks,
)

_CHANGES = st.lists(
    st.builds(
        block_change.BlockChange,
        st.integers(0, 15).map(lambda i: i << 28),
        st.one_of(st.none(), st.integers(0, 65_535)),
        st.booleans(),
    ),
    max_size=20,
)


def _expected_site(blocks, address):
    parsed = ipaddress.ip_address(address)
    mapped = getattr(parsed, "ipv4_mapped", None)
    parsed = mapped or parsed
    ipv6 = parsed.version == 6
    value = int(parsed) >> 64 if ipv6 else int(parsed)
    starts = [start for family, start in blocks if family == ipv6 and start <= value]
    return blocks[ipv6, max(starts)] if starts else 7


@hypothesis.given(
    st.lists(_CHANGES, max_size=3),
    st.lists(st.ip_addresses().map(str), min_size=1, max_size=10),
)
def test_look_ups_agree_with_a_simple_search(steps, addresses):
    # Guards against errors at a block's first or last address, after a removal, and
    # against versions or address families that are mixed up in the stored form.
    table, blocks = block_table.BlockTable(default_site=7), {}
    addresses += ["::ffff:16.0.0.1", "0.0.0.0", "255.255.255.255", "::f000:0:0:0:1"]
    for changes in steps:
        table.apply(block_table.pack_changes(table.version, changes))
        for change in changes:
            blocks.pop((change.ipv6, change.start), None)
            if change.site is not None:
                blocks[change.ipv6, change.start] = change.site
        table = block_table.BlockTable.from_bytes(table.to_bytes())
        edges = [start + offset for _, start in blocks for offset in (-1, 0)]
        edges = [str(ipaddress.IPv4Address(edge)) for edge in edges if edge >= 0]
        for address in addresses + edges:
            assert table.site_of(address) == _expected_site(blocks, address)
    assert len(table) == len(blocks)


@hypothesis.given(_CHANGES, st.data())
def test_damaged_tables_and_changes_are_refused(changes, data):
    # Guards against the use of a truncated or damaged table from the store.
    table = block_table.BlockTable()
    for good in (block_table.pack_changes(0, changes), table.to_bytes()):
        bad = bytearray(good)
        bad[data.draw(st.integers(0, len(bad) - 1))] ^= data.draw(st.integers(1, 255))
        for damaged in (bytes(bad), good[:-1], good + b"\x00", b""):
            with pytest.raises(sorted_blocks.BlockTableError):
                block_table.BlockTable.from_bytes(damaged)
            with pytest.raises(sorted_blocks.BlockTableError):
                table.apply(damaged)
    table.apply(block_table.pack_changes(0, changes))
    with pytest.raises(sorted_blocks.BlockTableError):
        table.apply(block_table.pack_changes(0, changes))


def test_blocks_out_of_order_are_refused():
    # Guards against a table in which bisection finds wrong blocks.
    blocks = sorted_blocks.SortedBlocks("I")
    with pytest.raises(sorted_blocks.BlockTableError):
        blocks.load(memoryview(bytes(12)), 2)


@pytest.mark.parametrize("address", ["", "1.2.3", "1.2.3.4.5", "01x", "a.b.c.d", "::g"])
def test_invalid_addresses_raise(address):
    # Guards against a wrong site for a mistyped address.
    with pytest.raises(ValueError, match="not an IP address"):
        block_table.BlockTable().site_of(address)


def test_updated_ranks_equal_recomputed_ranks():
    # Guards against ranks that depend on the order in which members became known:
    # callers would be moved between VMs for ever.
    rng = random.Random(5)
    names = [f"vm-{i}" for i in range(20)]
    table = rank_table.RankTable(3)
    vms = set()
    for _ in range(60):
        vms ^= set(rng.sample(names, rng.randint(0, 3)))
        table.set_vms(vms)
        for block in range(0, 1 << 32, 1 << 26):
            expected = ranking.rank_vms(block, sorted(vms), 3)
            assert table.ranks[ranking.hash_slot(block)] == expected


def _resolver(vms_per_centre):
    table = block_table.BlockTable()
    changes = [block_change.BlockChange(i << 20, i % 2) for i in range(1, 4000)]
    table.apply(block_table.pack_changes(0, changes))
    result = resolver.Resolver(table, {0: ["x", "y"], 1: ["y", "x"]}, ["x"])
    for centre in "xy":
        result.set_vms(centre, [f"{centre}{i}" for i in range(vms_per_centre)])
    return result


def _resolve_all(result):
    return [
        result.resolve(str(ipaddress.IPv4Address((i << 20) + 5)))
        for i in range(1, 4000)
    ]


def test_only_the_clients_of_a_lost_vm_move_and_they_return():
    # Guards against the loss of one VM that moves the clients of other VMs.
    result = _resolver(6)
    before = _resolve_all(result)
    result.set_vms("x", [f"x{i}" for i in range(5)])
    during = _resolve_all(result)
    moved = [i for i in range(len(before)) if before[i][0] != during[i][0]]
    assert all(before[i][0] == "x5" for i in moved)
    assert all(before[i][1] == during[i][0] for i in moved)
    assert 0.5 < len(moved) / (len(before) / 12) < 1.5
    result.set_vms("x", [f"x{i}" for i in range(6)])
    assert _resolve_all(result) == before


def test_the_next_data_centre_replaces_a_lost_one():
    # Guards against an empty or short response for a site with too few live VMs.
    result = _resolver(2)
    for vms in _resolve_all(result):
        assert len(set(vms)) == 3
        assert vms[0][0] == vms[1][0] != vms[2][0]
    result.set_vms("x", [])
    assert {vms[0][0] for vms in _resolve_all(result)} == {"y"}
    result.set_vms("y", [])
    assert set(_resolve_all(result)) == {()}
