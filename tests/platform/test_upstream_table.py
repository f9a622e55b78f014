"""Tests of decoding upstream registrations that change one at a time."""

import json

from rattanlug.metrics import counters
from rattanlug.platform import upstream_row, upstream_table
from rattanlug.tables import store_row


def row(key, version, state="ready"):
    value = {
        "info": {"service": "s", "version": "v1", "capacity": 5, "zone": "a"},
        "status": {"state": state, "sequence": version},
        "address": "10.0.0.1:80",
    }
    return store_row.StoreRow(key, json.dumps(value).encode(), version)


# Guards against processor time that grows with the number of upstreams times the number
# of changes, which exceeded the limit in large deployments.
def test_only_rows_that_changed_are_decoded(monkeypatch):
    decoded = []
    decode = upstream_row.decode

    def recording_decode(key, data):
        decoded.append(key)
        return decode(key, data)

    monkeypatch.setattr(upstream_row, "decode", recording_decode)
    table = upstream_table.UpstreamTable(counters.Counters())
    rows = {f"u{index}": row(f"u{index}", index + 1) for index in range(200)}
    assert len(table.decode_all(rows.values())) == 200
    decoded.clear()
    rows["u7"] = row("u7", 300, "draining")
    del rows["u8"]
    found = {each.id: each for each in table.decode_all(rows.values())}
    assert decoded == ["u7"]
    assert found["u7"].leaving
    assert found.keys() == rows.keys()


def test_a_row_that_was_removed_and_added_is_decoded_again():
    table = upstream_table.UpstreamTable(counters.Counters())
    table.decode_all([row("u1", 1)])
    assert table.decode_all([]) == []
    (found,) = table.decode_all([row("u1", 1, "draining")])
    assert found.leaving


def test_an_unreadable_row_is_left_out_and_counted_once():
    all_counters = counters.Counters()
    table = upstream_table.UpstreamTable(all_counters)
    rows = [store_row.StoreRow("u1", b"\xff", 1), row("u2", 2)]
    for _ in range(3):
        assert [each.id for each in table.decode_all(rows)] == ["u2"]
    assert all_counters.value("upstream_rows_unreadable") == 1
    (found,) = table.decode_all([row("u1", 3)])
    assert found.id == "u1"
