"""Guards against rules that are misread or accepted although they are invalid."""

import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanlug.errors import error, kind
from rattanlug.model import drain, route
from rattanlug.rules import parser

RULES = (pathlib.Path(__file__).parent / "example.rules").read_text()


def diagnostics_of(text):
    with pytest.raises(error.InvalidInputError) as caught:
        parser.parse_rules(text)
    assert caught.value.kind is kind.ErrorKind.RULE_INVALID
    return caught.value.detail.split("\n")


def with_line(old, new):
    assert old in RULES
    return RULES.replace(old, new)


def test_every_kind_reaches_its_collection():
    """A kind that is parsed but not stored would have no effect, without an error."""
    result = parser.parse_rules(RULES, version=7)
    assert result.version == 7
    assert result.data_centres["bizkaia-1"].vms == 2
    assert result.links[0].bits_per_second == 4e9
    assert result.services["listings"].deadline == 2
    assert result.routes["claim"].semantics is route.Semantics.ONCE
    assert result.upstreams["l-02"][4:] == ("fd00::1", 9001, 5, 360)
    assert result.organisations["urdina"][1:] == (50, 100)
    assert result.keys["a" * 64].organisation == "urdina"
    assert result.moves["listings-v2"].deadline == 1796407200
    assert result.drains == (drain.Drain(drain.DrainTarget.UPSTREAM, "l-01"),)
    assert result.objectives[1][:2] == ("*", "*")


def test_empty_text_is_the_empty_configuration():
    """A new platform has no rules; a daemon must start there."""
    assert parser.parse_rules("").version == 0


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ("deadline=2", "deadline=10.1", "deadline: got '10.1'"),
        ("# Jon: seconds", "# Jon\x1b[2K", "control character"),
        ("deadline=2", "deadline=nan", "deadline: got 'nan'"),
        ("rate=50", "rate=0", "rate: got '0'"),
        ("rate=50", "rate=1e400", "rate: got '1e400'"),
        ("rate=50", "rate=-5", "rate: got '-5'"),
        ("rate=50 ", "rate=50 rate=60 ", "rate: given twice"),
        ("rate=50 ", "", "missing rate="),
        ("rate=50", "rate=50 colour=red", "got 'colour=red'"),
        ("organisation urdina", "organisation", "no name"),
        ("organisation urdina", "organisation a/b", "got name 'a/b'"),
        ("organisation urdina", "tenant urdina", "unknown kind 'tenant'"),
        ("burst=100  # Ane: requests/s, requests", "burst=100", "comment is missing"),
        ("burst=100  # Ane: requests/s, requests", "burst=1 #", "comment is missing"),
        ("address=127.0.0.1:9001", "address=l-01:9001", "address: got 'l-01:9001'"),
        ("address=127.0.0.1:9001", "address=127.0.0.1:0", "port 1 to 65535"),
        ("address=[fd00::1]:9001", "address=fd00::1:9001", "[<IPv6>]:<port>"),
        ("path=/listings ", "path=/.rattanlug/rules ", "outside /.rattanlug"),
        ("path=/listings ", "path=/a?b ", "without '?'"),
        ("by=2026-12-04T18:00:00Z", "by=2026-12-04T18:00:00", "by: got"),
        ("target=0.999", "target=1", "target: got '1'"),
        ("semantics=once", "semantics=twice", "idempotent, once"),
        ("digest=aaaa", "digest=AAAA", "lower case"),
        ("service=listings version=v1 data", "service=x version=v1 data", "unknown se"),
        ("data_centre=bizkaia-1", "data_centre=nowhere", "unknown data_centre"),
        ("key urdina/", "key gorria/", "unknown organisation 'gorria'"),
        ("bizkaia/gipuzkoa", "bizkaia/colombo", "unknown region 'colombo'"),
        ("bizkaia/gipuzkoa", "bizkaia/bizkaia", "same region"),
        ("drain upstream/l-01", "drain upstream/l-99", "unknown upstream 'l-99'"),
        ("drain upstream/l-01", "drain rack/l-01", "unknown target 'rack'"),
        ("urdina/view", "urdina/look", "unknown route 'look'"),
        ("to=v2", "to=v1", "version it starts from"),
        ("to=v2", "to=v3", "no upstream of listings has version 'v3'"),
        ("method=POST path=/claims", "method=GET path=/listings", "already routed"),
        ("organisation berdea", "organisation urdina", "already on line"),
        ("digest=" + "b" * 64, "digest=" + "a" * 64, "digest of line"),
        ("address=[fd00::1]:9001", "address=127.0.0.1:9001", "address of line"),
    ],
)
def test_invalid_rule_is_rejected(old, new, expected):
    """An invalid rule that is accepted takes effect in the whole fleet."""
    assert expected in "\n".join(diagnostics_of(with_line(old, new)))


def test_rules_without_seats_are_rejected():
    """Without seats, all shares are zero and all traffic is rejected."""
    text = RULES.replace("vms=2", "vms=0").replace("vms=1", "vms=0")
    assert "no seats" in diagnostics_of(text)[0]
    assert "no seats" in diagnostics_of("organisation a rate=1 burst=1  # Ane")[0]


def test_all_invalid_lines_are_reported_with_line_and_column():
    """With one error at a time, an operator needs one attempt for each error."""
    text = (
        "organisation a rate=x burst=1  # Ane\n"
        "\n"
        "key a/shop digest=12  # Ane\n"
        "data_centre d region=r vms=1\n"
    )
    assert diagnostics_of(text) == [
        "line 1, column 21: rate: got 'x'; accepted: a number above 0",
        "line 3, column 19: digest: got '12'; "
        "accepted: 64 hexadecimal digits in lower case",
        "line 4, column 29: the comment is missing; "
        "accepted: # who asked and why, at the end of the line",
    ]


def test_reversed_link_is_a_duplicate():
    """Two lines for one pair of regions would count its capacity twice."""
    text = RULES + "link gipuzkoa/bizkaia bits_per_second=1  # Ane\n"
    assert "same regions as line" in diagnostics_of(text)[0]


PIECES = st.sampled_from(["", " ", "/", "=", "#", "*", "\n", "\r", "\t", "\x00", "é"])


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_damaged_text_gives_only_diagnostics(data):
    """A traceback for a typing mistake would look like an error of the daemon."""
    text = RULES
    for _ in range(data.draw(st.integers(1, 4))):
        start = data.draw(st.integers(0, len(text)))
        end = start + data.draw(st.integers(0, 12))
        text = text[:start] + data.draw(PIECES) + text[end:]
    try:
        parser.parse_rules(text)
    except error.InvalidInputError as exc:
        assert all(line.startswith("line ") for line in exc.detail.split("\n"))
