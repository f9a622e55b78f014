"""Guards against settings that start a daemon with unintended values."""

import json

import pytest

from rattanlug.errors import error, kind
from rattanlug.settings import loader

GOOD = {
    "vm": "bizkaia-1-a",
    "data_centre": "bizkaia-1",
    "caller": {"host": "127.0.0.1", "port": 8000},
    "peer": {"host": "::1", "port": 8001},
    "platform": {"host": "127.0.0.1", "port": 9000},
    "seeds": [{"host": "127.0.0.2", "port": 8001}],
}
ADDRESS = "an object with host, port"


@pytest.fixture
def load(tmp_path):
    """Return a function that loads text and returns settings or error lines."""
    file = tmp_path / "vm.json"

    def load_text(text):
        file.write_text(text)
        try:
            return loader.load_settings(str(file))
        except error.InvalidInputError as exc:
            assert exc.kind is kind.ErrorKind.SETTINGS_INVALID
            lines = exc.detail.split("\n")
            assert all(line.startswith(f"{file}: ") for line in lines)
            return [line.removeprefix(f"{file}: ") for line in lines]

    return load_text


def test_good_settings_and_defaults(load):
    """An unnoticed change of a default could open or close an interface."""
    result = load(json.dumps(GOOD))
    assert result.seeds[0] == ("127.0.0.2", 8001)
    assert result[-3:] == (None, "", "INFO")


@pytest.mark.parametrize(
    "change, expected",
    [
        ({"colour": 1}, "$.colour: unknown; accepted: vm, data_centre, caller, peer"),
        ({"vm": 7}, "$.vm: got 7; accepted: 1 to 63 letters"),
        ({"vm": "a/b"}, '$.vm: got "a/b"; accepted: 1 to 63 letters'),
        (
            {"caller": {"host": "127.0.0.1", "port": 80000}},
            "$.caller.port: got 80000; accepted: 1 to 65535",
        ),
        (
            {"caller": {"host": "127.0.0.1", "port": True}},
            "$.caller.port: got true; accepted: 1 to 65535",
        ),
        (
            {"peer": {"host": "entry-vm", "port": 1}},
            '$.peer.host: got "entry-vm"; accepted: an IPv4 or IPv6 number',
        ),
        ({"peer": {"host": "::1"}}, "$.peer.port: missing; accepted: 1 to 65535"),
        (
            {"peer": {"host": "::1", "port": 1, "tls": 1}},
            "$.peer.tls: unknown; accepted: host, port",
        ),
        ({"peer": "::1"}, f'$.peer: got "::1"; accepted: {ADDRESS}'),
        ({"seeds": "abc"}, '$.seeds: got "abc"; accepted: a list of objects'),
        ({"seeds": [GOOD["peer"], 4]}, f"$.seeds[1]: got 4; accepted: {ADDRESS}"),
        ({"peer_advertised": []}, f"$.peer_advertised: got []; accepted: {ADDRESS}"),
        ({"operator_token_digest": "12"}, '$.operator_token_digest: got "12"; accept'),
        ({"log_level": "LOUD"}, '$.log_level: got "LOUD"; accepted: DEBUG, INFO'),
    ],
)
def test_error_is_one_line_with_its_place(load, change, expected):
    """An operator must find the wrong value without reading code."""
    (line,) = load(json.dumps(GOOD | change))
    assert line.startswith(expected)


def test_all_errors_are_reported_at_once(load):
    """With one error at a time, an operator needs one start for each error."""
    broken = GOOD | {"caller": {"host": "x", "port": 0}, "log_level": 1, "extra": 1}
    del broken["vm"]
    assert sorted(line.split(":")[0] for line in load(json.dumps(broken))) == [
        "$.caller.host",
        "$.caller.port",
        "$.extra",
        "$.log_level",
        "$.vm",
    ]


@pytest.mark.parametrize(
    "text, expected",
    [
        ("", "line 1, column 1: Expecting value; accepted: JSON"),
        ('{"vm": ,}', "line 1, column 8: Expecting value; accepted: JSON"),
        ('{"vm": "a", "vm": "b"}', "vm: given twice; accepted: JSON in UTF-8"),
        ("[]", "$: got []; accepted: an object with vm, data_centre, caller"),
        ("[" * 100_000, "maximum recursion depth exceeded"),
    ],
)
def test_text_that_is_not_a_settings_object(load, text, expected):
    """A broken file must give an error message instead of a traceback."""
    (line,) = load(text)
    assert line.startswith(expected)


def test_file_that_cannot_be_read(tmp_path):
    """A wrong path is the most common mistake."""
    with pytest.raises(error.InvalidInputError, match="cannot be read: No such file"):
        loader.load_settings(str(tmp_path / "none.json"))
