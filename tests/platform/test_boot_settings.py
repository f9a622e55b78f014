"""Tests of reading the settings file of the platform."""

import tomllib

import pytest

from rattanlug.errors import error
from rattanlug.platform import boot_settings
from trial.shared_platform import boot_file


def table():
    return tomllib.loads(boot_file.render("vm-1", "127.0.1.1", 9000, 9500))


def test_all_fields_are_decoded():
    found = boot_settings.decode(table())
    assert (found.vm, found.data_centre, found.region) == ("vm-1", "north-a", "north")
    assert found.callers.port == 9000
    assert found.store.address.port == 9500
    assert found.bounds.key_withdrawal == 5
    assert found.bounds.rate_slack == 20
    assert found.region_of["south-a"] == "south"


def test_unknown_fields_and_missing_bounds_are_accepted():
    found = {**table(), "new_field": {"a": 1}}
    del found["bounds"]
    assert boot_settings.decode(found).bounds.strict_withdrawal


@pytest.mark.parametrize("name", ["node_name", "zone", "listen", "platform"])
def test_the_error_names_a_missing_field(name):
    found = table()
    del found[name]
    with pytest.raises(error.InvalidInputError, match=name):
        boot_settings.decode(found)


def test_an_address_needs_a_port():
    found = table()
    found["listen"]["front"] = "10.0.0.1"
    with pytest.raises(error.InvalidInputError, match="front"):
        boot_settings.decode(found)


def test_the_error_names_a_missing_file(tmp_path):
    with pytest.raises(error.InvalidInputError, match=r"none\.toml"):
        boot_settings.read(str(tmp_path / "none.toml"))


# Guards against a daemon that ends at its start or at a reload because of a value that
# it does not expect.
@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("ip",), "vm-1"),
        (("ip",), 5),
        (("zones", "north-b"), 5),
        (("internal_ports",), []),
        (("internal_ports",), ["x"]),
        (("internal_ports",), [70000]),
        (("internal_ports",), "9204"),
        (("seeds",), 5),
        (("heartbeat_s",), "soon"),
        (("heartbeat_s",), float("nan")),
        (("limits",), 5),
        (("limits", "memory_mb"), float("inf")),
        (("limits", "memory_mb"), "300"),
        (("limits", "max_fds"), -1),
        (("limits", "cores"), None),
        (("listen", "front"), "127.0.0.1:²"),
        (("listen", "front"), "127.0.0.1:70000"),
        (("listen", "front"), "entry.example:80"),
        (("platform", "address"), 5),
        (("platform", "reads_per_s"), []),
        (("bounds",), []),
        (("bounds", "revoke_s"), "5x"),
        (("bounds", "grace_s"), True),
        (("bounds", "strict_revoke"), "false"),
    ],
    ids=str,
)
def test_the_error_names_a_value_that_is_invalid(path, value):
    found = table()
    target = found
    for each in path[:-1]:
        target = target[each]
    target[path[-1]] = value
    with pytest.raises(error.InvalidInputError, match=path[-1]):
        boot_settings.decode(found)


@pytest.mark.parametrize("data", [b"\xff\xfe", b"a = " + b"[" * 5000, b"a = 1e", b"a"])
def test_a_file_that_cannot_be_parsed_is_invalid(tmp_path, data):
    path = tmp_path / "local.toml"
    path.write_bytes(data)
    with pytest.raises(error.InvalidInputError, match=r"local\.toml"):
        boot_settings.read(str(path))


def test_an_odd_seed_is_ignored():
    found = {**table(), "seeds": ["10.0.0.1:80", "vm.example:80", 5, ""]}
    assert boot_settings.decode(found).seed_hosts == ("10.0.0.1",)
