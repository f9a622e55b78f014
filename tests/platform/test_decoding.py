"""Tests of decoding the platform's rows and headers."""

import json

import pytest

from rattanlug.metrics import counters
from rattanlug.platform import (
    decoding,
    desired_state,
    operator_table,
    request_headers,
    response_headers,
    rollout_row,
    upstream_row,
    upstream_table,
)
from rattanlug.tables import store_read, store_row
from trial.shared_platform import fleet

ROW = {
    "address": "10.0.0.9:8080",
    "born": 7,
    "info": {"service": "s", "version": "v1", "zone": "d", "capacity": 5},
    "status": {"state": "ready", "sequence": 4, "warmup_left_s": 1.5},
}
OWN = (b"rattanlug-request-id", b"r1")
REFUSED = (b"rattanlug-not-executed", b"1")
STAMP = (b"rattanlug-server-stamp", b"s")


def encode_row(**changes):
    """Return a registration with changes; a__b is field b of a, and None removes it."""
    found = json.loads(json.dumps(ROW))
    for path, value in changes.items():
        *parents, name = path.split("__")
        target = found
        for each in parents:
            target = target[each]
        if value is None:
            del target[name]
        else:
            target[name] = value
    return json.dumps(found).encode()


def test_a_registration_is_decoded():
    found = upstream_row.decode("u1", encode_row())
    assert (found.id, found.host, found.port, found.slots) == (
        "u1", "10.0.0.9", 8080, 5,
    )  # fmt: skip
    assert (found.incarnation, found.sequence, found.cold_seconds) == (7, 4, 1.5)
    assert not found.leaving
    assert upstream_row.decode("u1", encode_row(status__state="draining")).leaving
    assert upstream_row.decode("u1", encode_row(born=None)).incarnation == 0


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'"text"',
        encode_row(info=3),
        encode_row(status=None),
        encode_row(info__service=None),
        encode_row(info__capacity="5"),
        encode_row(info__capacity=True),
        encode_row(info__capacity=0),
        encode_row(status__state="dancing"),
        encode_row(status__sequence=1.5),
        encode_row(address="10.0.0.9"),
        encode_row(address=17),
        encode_row(born="soon"),
        encode_row(status__warmup_left_s="long"),
    ],
)
def test_malformed_registrations_are_rejected(data):
    with pytest.raises(decoding.MalformedValueError):
        upstream_row.decode("u1", data)


def test_a_desired_state_is_decoded():
    found = desired_state.decode(json.dumps(fleet.desired_state(12)).encode())
    assert found.version == 12
    routes = {each.name: each for each in found.routes}
    assert routes["view"].idempotent
    assert not routes["claim"].idempotent
    assert routes["open"].public
    assert routes["view"].weighted_services[0].service == fleet.SERVICE
    assert found.organisations[0].rate == 1000
    assert fleet.KEY not in repr(found)


def test_a_traffic_split_is_decoded():
    state = fleet.desired_state()
    path = state["virtual_hosts"][0]["paths"][0]
    path["traffic_split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    del path["service"]
    found = desired_state.decode(json.dumps(state).encode())
    assert [tuple(each) for each in found.routes[0].weighted_services] == [
        ("a", 90),
        ("b", 10),
    ]


@pytest.mark.parametrize("text", ["", "r", "x7", "r-1", "1.5"])
def test_invalid_versions_are_rejected(text):
    with pytest.raises(decoding.MalformedValueError):
        desired_state.version_number(text)


def row(key, value, version):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return store_row.StoreRow(key, data, version)


def read(*rows, version=100):
    return store_read.StoreRead(list(rows), version, 0.0, 0.0)


def test_changes_and_removals_of_operators_rows_are_applied():
    table = operator_table.OperatorTable()
    order = {"service": "s", "target": "v2", "duration_s": 9}
    table.apply_all(
        read(
            row("config", fleet.desired_state(3), 1),
            row("rollout/s", order, 2),
            row("evacuate/d", {}, 3),
        )
    )
    assert table.desired.version == 3
    assert table.orders["s"].row_version == 2
    assert table.evacuated == {"d"}
    table.apply_changes(read(store_row.StoreRow("evacuate/d", b"", 5, removed=True)))
    assert table.evacuated == frozenset()
    # An older change that arrives late does not override a newer one.
    table.apply_changes(read(row("evacuate/d", {}, 4)))
    assert table.evacuated == frozenset()
    table.apply_changes(read(row("config", b"broken", 6)))
    assert table.desired.version == 3
    table.apply_all(read(row("config", fleet.desired_state(4), 7), version=101))
    assert table.orders == {}
    assert table.desired.version == 4


def test_the_status_of_a_rollout_is_encoded_and_decoded():
    state = rollout_row.rollout_state.RolloutState.ROLLED_BACK
    data = rollout_row.encode_status("s", "v2", state)
    assert json.loads(data) == {"service": "s", "target": "v2", "state": "rolled_back"}
    assert rollout_row.decode_status(data) == ("v2", state)


def test_request_headers_are_decoded_and_forwarded():
    headers = [
        (b"host", b"a.example"),
        (b"rattanlug-request-id", b"r1"),
        (b"rattanlug-deadline-ms", b"1500"),
        (b"authorization", b"Token k1"),
        (b"cookie", b"x=1; Rattanlug-Affinity-Key=17"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-kept", b"2"),
        (b"rattanlug-tenant", b"forged"),
        (b"rattanlug-expect-instance", b"forged"),
    ]
    found = request_headers.decode(headers)
    assert found == ("r1", 1.5, "k1", "17", "a.example")
    sent = dict(
        request_headers.for_upstream(
            request_headers.forwarded(headers, "o1", True, 3), "u1", 0.25
        )
    )
    assert sent == {
        b"host": b"a.example",
        b"rattanlug-request-id": b"r1",
        b"cookie": b"x=1; Rattanlug-Affinity-Key=17",
        b"x-kept": b"2",
        b"rattanlug-tenant": b"o1",
        b"rattanlug-expect-instance": b"u1",
        b"rattanlug-deadline-ms": b"250",
        b"content-length": b"3",
    }


@pytest.mark.parametrize(
    ("status", "headers", "not_executed", "misdirected", "ambiguous"),
    [
        (200, [OWN], False, False, False),
        (503, [OWN], False, False, False),
        (503, [OWN, REFUSED], True, False, False),
        (400, [OWN, REFUSED], True, False, False),
        (421, [OWN, (b"rattanlug-backend-id", b"u2")], True, True, False),
        (421, [OWN, STAMP], False, False, False),
        # Not certain to be about this request.
        (421, [(b"rattanlug-backend-id", b"u2")], False, False, True),
        (503, [REFUSED], False, False, True),
        (503, [(b"rattanlug-request-id", b"other"), REFUSED], False, False, True),
        (503, [OWN, REFUSED, STAMP], False, False, True),
        (200, [OWN, REFUSED], False, False, True),
        (500, [OWN, REFUSED], False, False, True),
    ],
)
def test_response_status_and_headers_tell_whether_the_request_ran(
    status, headers, not_executed, misdirected, ambiguous
):
    found = response_headers.decode(status, headers, b"r1")
    assert found.not_executed is not_executed
    assert found.misdirected is misdirected
    assert found.ambiguous is ambiguous


def test_a_request_without_an_identifier_is_refused_without_one():
    assert response_headers.decode(400, [REFUSED], b"").not_executed
    assert not response_headers.decode(400, [OWN, REFUSED], b"").not_executed


def test_load_and_idle_timeout_are_decoded():
    found = response_headers.decode(
        200,
        [
            (b"rattanlug-backend-load", b"3,2,8"),
            (b"keep-alive", b"timeout=10, max=5"),
            (b"connection", b"close"),
        ],
        b"",
    )
    assert (found.busy, found.idle_seconds, found.leaving) == (5, 10.0, True)
    broken = response_headers.decode(200, [(b"rattanlug-backend-load", b"many")], b"")
    assert broken.busy is None


def encode_state(path, value):
    """Return a desired state with one value replaced, or removed if it is REMOVED."""
    found = json.loads(json.dumps(fleet.desired_state(12)))
    *parents, last = path
    target = found
    for each in parents:
        target = target[each]
    if value is REMOVED:
        del target[last]
    else:
        target[last] = value
    return json.dumps(found).encode()


REMOVED = object()
_PATH = ("virtual_hosts", 0, "paths", 0)
_TENANT = ("tenants", 0)


# Guards against a malformed row of an operator that ends the process or is applied in
# part.
@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), "r²"),
        (("version",), "12x"),
        (("services",), "text"),
        (("services",), REMOVED),
        (("virtual_hosts",), REMOVED),
        (("virtual_hosts", 0, "paths"), REMOVED),
        (("services", 0), "text"),
        (("services", 0, "name"), REMOVED),
        (("services", 0, "max_conns"), "many"),
        (("virtual_hosts",), {"a": 1}),
        (("virtual_hosts", 0), 3),
        (("virtual_hosts", 0, "paths"), [None]),
        ((*_PATH, "timeout_s"), 0),
        ((*_PATH, "timeout_s"), -1),
        ((*_PATH, "timeout_s"), float("nan")),
        ((*_PATH, "timeout_s"), float("inf")),
        ((*_PATH, "timeout_s"), 10**400),
        ((*_PATH, "priority"), float("inf")),
        ((*_PATH, "public"), "false"),
        ((*_PATH, "session_affinity"), 1),
        ((*_PATH, "home_regions"), "north"),
        ((*_PATH, "home_regions"), [3]),
        ((*_PATH, "traffic_split"), [{"weight": 1}]),
        ((*_PATH, "traffic_split"), ["text"]),
        ((*_PATH, "traffic_split"), [{"service": "s", "weight": 0}]),
        ((*_PATH, "traffic_split"), [{"service": "s", "weight": -1}]),
        (("tenants",), "text"),
        (("tenants",), ["text"]),
        ((*_TENANT, "api_keys"), [5]),
        ((*_TENANT, "api_keys"), "key"),
        ((*_TENANT, "rate_per_s"), -1),
        ((*_TENANT, "priority"), "high"),
        ((*_TENANT, "priority"), float("inf")),
        (("limits",), [1]),
        (("limits", "max_body_bytes"), -1),
        (("limits", "max_header_bytes"), -1),
        (("limits", "header_timeout_s"), -1),
        (("limits", "idle_timeout_s"), -1),
    ],
)
def test_malformed_desired_states_are_rejected(path, value):
    with pytest.raises(decoding.MalformedValueError):
        desired_state.decode(encode_state(path, value))


def test_a_malformed_desired_state_leaves_the_previous_one_in_effect():
    table = operator_table.OperatorTable()
    good = json.dumps(fleet.desired_state(12)).encode()
    table.apply_changes(
        store_read.StoreRead([store_row.StoreRow("config", good, 1)], 1, 0.0, 0.0)
    )
    bad = encode_state(("services", 0), "text")
    table.apply_changes(
        store_read.StoreRead([store_row.StoreRow("config", bad, 2)], 2, 0.0, 0.0)
    )
    assert table.desired.version == 12


# Guards against a registration that is taken for an earlier one, since the store came
# back from a copy and gave out its version again.
def test_a_version_that_is_given_out_again_is_decoded_again():
    table = upstream_table.UpstreamTable(counters.Counters())
    table.decode_all([store_row.StoreRow("u1", b"not a registration", 7)])
    (record,) = table.decode_all([store_row.StoreRow("u1", encode_row(), 7)])
    assert record.id == "u1"
