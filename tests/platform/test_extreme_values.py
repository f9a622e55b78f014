"""Rows and headers with values that are valid JSON or text but out of range."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from rattanlug.canary import record_codec
from rattanlug.platform import (
    decoding,
    desired_state,
    request_headers,
    response_headers,
    upstream_row,
)
from tests.platform import test_decoding
from trial.shared_platform import fleet

HUGE = 10**400
LONG_NUMBER = "9" * 5000
SURROGATE = "\ud800"
PATH = ("virtual_hosts", 0, "paths", 0)
TENANT = ("tenants", 0)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.sampled_from(
        [HUGE, -HUGE, 2**63, 1e308, SURROGATE, "²", "1.2.3.4:²", "", "\0"]
    ),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


# Guards against registrations that ended every daemon, and against those that left it
# running while it kept choosing an upstream that cannot be called.
@pytest.mark.parametrize(
    "changes",
    [
        {"address": "10.0.0.9:²"},
        {"address": f"10.0.0.9:{LONG_NUMBER}"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:-1"},
        {"address": "10.0.0.9:+80"},
        {"address": "upstream.example:80"},
        {"address": "10.0.0:80"},
        {"address": "10.0.0.9\0:80"},
        {"address": "0.0.0.0:80"},
        {"address": "224.0.0.1:80"},
        {"address": f"{SURROGATE}:80"},
        {"info__capacity": HUGE},
        {"info__capacity": 2**31},
        {"info__service": SURROGATE},
        {"info__version": SURROGATE},
        {"info__zone": SURROGATE},
        {"status__sequence": HUGE},
        {"status__warmup_left_s": HUGE},
        {"born": HUGE},
    ],
    ids=lambda changes: str(changes)[:50],
)
def test_registrations_out_of_range_are_rejected(changes):
    with pytest.raises(decoding.MalformedValueError):
        upstream_row.decode("u1", test_decoding.encode_row(**changes))


@pytest.mark.parametrize("key", ["", "a\nb", "a b", "é", SURROGATE])
def test_an_id_that_cannot_be_sent_in_a_header_is_rejected(key):
    with pytest.raises(decoding.MalformedValueError):
        upstream_row.decode(key, test_decoding.encode_row())


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), f"r{LONG_NUMBER}"),
        (("version",), f"r{2**63}"),
        (("version",), 2**63),
        ((*PATH, "timeout_s"), 2**64),
        ((*PATH, "name"), SURROGATE),
        ((*TENANT, "name"), SURROGATE),
        ((*TENANT, "api_keys"), [SURROGATE]),
        (("limits", "max_body_bytes"), HUGE),
    ],
    ids=lambda value: str(value)[:50],
)
def test_desired_states_out_of_range_are_rejected(path, value):
    with pytest.raises(decoding.MalformedValueError):
        desired_state.decode(test_decoding.encode_state(path, value))


RECORD = {
    "service": "s",
    "order_version": 1,
    "target": "v2",
    "base": ["v1"],
    "began": 1.0,
    "duration": 2.0,
    "state": "running",
    "reason": "",
}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("order_version", float("inf")),
        ("order_version", float("nan")),
        ("began", HUGE),
        ("began", float("nan")),
        ("duration", float("inf")),
        ("base", 3),
    ],
)
def test_rollout_records_out_of_range_are_rejected(name, value):
    assert record_codec.decode(json.dumps(RECORD).encode(), 5).row_version == 5
    data = json.dumps({**RECORD, name: value}).encode()
    with pytest.raises(record_codec.UnreadableRecordError):
        record_codec.decode(data, 5)


@hypothesis.given(
    strategies.sampled_from(
        [
            ("address",),
            ("born",),
            ("info",),
            ("info", "service"),
            ("info", "version"),
            ("info", "zone"),
            ("info", "capacity"),
            ("status",),
            ("status", "state"),
            ("status", "sequence"),
            ("status", "warmup_left_s"),
        ]
    ),
    VALUES,
)
def test_no_registration_raises_another_error(path, value):
    found = json.loads(json.dumps(test_decoding.ROW))
    target = found
    for each in path[:-1]:
        target = target[each]
    target[path[-1]] = value
    try:
        decoded = upstream_row.decode("u1", json.dumps(found).encode())
    except decoding.MalformedValueError:
        return
    assert 1 <= decoded.port <= 65535
    assert 1 <= decoded.slots <= 65535


def paths_of(value, prefix=()):
    """Return the paths of all values in a JSON value."""
    children = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    found = [prefix] if prefix else []
    for key, child in children:
        found += paths_of(child, (*prefix, key))
    return found


@hypothesis.given(strategies.sampled_from(paths_of(fleet.desired_state(12))), VALUES)
def test_no_desired_state_raises_another_error(path, value):
    try:
        desired_state.decode(test_decoding.encode_state(path, value))
    except decoding.MalformedValueError:
        return


@pytest.mark.parametrize("value", [b"9" * 4000 + b",0,8", b"99999999,0,8"])
def test_an_impossible_load_report_is_ignored(value):
    found = response_headers.decode(200, [(b"rattanlug-backend-load", value)], b"")
    assert found.busy is None


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e999"])
def test_a_deadline_that_is_no_number_is_ignored(value):
    found = request_headers.decode([(b"rattanlug-deadline-ms", value)])
    assert found.time_left is None
