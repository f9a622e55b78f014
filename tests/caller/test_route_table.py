"""Paths that an upstream could interpret differently from the route table."""

from urllib import parse

import pytest

from rattanlug.caller import route_table
from rattanlug.errors import error, kind
from rattanlug.model import configuration, route


@pytest.fixture
def table():
    entry = route.Route(
        "open",
        "s",
        "GET",
        "/o",
        route.Semantics.IDEMPOTENT,
        route.Access.OPEN,
    )
    return route_table.RouteTable(configuration.Configuration(routes={"open": entry}))


@pytest.mark.parametrize("raw", [b"/o", b"/o/", b"/o/a;b", b"/o/100%25", b"/o/%C3%A9"])
def test_plain_paths_match(table, raw):
    path = parse.unquote(raw.decode())
    assert table.match("GET", path, raw).name == "open"


@pytest.mark.parametrize(
    "raw",
    [
        b"/o/../v",
        b"/o/%2e%2E/v",
        b"/o/%252e%252e/v",
        b"/o/..;a/v",
        b"/o/.;/v",
        b"/o%2fv",
        b"/o%5Cv",
        b"/o/%255cv",
        b"/o//v",
        b"/o/%00",
        b"/o/%zz",
        b"/o/%",
        b"/o/%ff",
        b"/o#v",
    ],
)
def test_ambiguous_paths_are_rejected(table, raw):
    # The route that is checked must be the one that the upstream serves.
    path = parse.unquote(raw.decode())
    with pytest.raises(error.RefusedError) as caught:
        table.match("GET", path, raw)
    assert caught.value.kind is kind.ErrorKind.REQUEST_MALFORMED
