"""Reads the settings file that the platform writes for each process."""

import logging
import os
import tomllib
from typing import Any

from rattanlug.desired import bounds
from rattanlug.errors import error, kind
from rattanlug.settings import address, gateway_settings, store_settings

_LOG = logging.getLogger(__name__)
PATH_VARIABLE = "RATTANLUG_BOOT"
# More than any setting's sensible value, and small enough to calculate with.
_MAX_NUMBER = 1e12


def path_from_environment() -> str:
    """Return the path of the settings file.

    Raises
    ------
    error.InvalidInputError
        When the environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise error.InvalidInputError(
            kind.ErrorKind.SETTINGS_INVALID,
            f"environment variable {PATH_VARIABLE} is not set",
        )
    return path


def read(path: str) -> gateway_settings.GatewaySettings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str

    Returns
    -------
    gateway_settings.GatewaySettings

    Raises
    ------
    error.InvalidInputError
        When a field is missing or has the wrong type; the message names it.
    """
    try:
        with open(path, "rb") as file:
            found = tomllib.load(file)
    except (OSError, RecursionError, ValueError) as exc:
        # Invalid TOML and bytes that are not UTF-8 raise a ValueError.
        raise error.InvalidInputError(
            kind.ErrorKind.SETTINGS_INVALID, f"{path}: {exc}"
        ) from exc
    return decode(found)


def decode(found: dict[str, Any]) -> gateway_settings.GatewaySettings:
    """Convert the parsed settings file to settings.

    Raises
    ------
    error.InvalidInputError
        When a field is missing or has the wrong type; the message names it.
    """
    listen = _field(found, "listen", dict)
    limits = _field(found, "limits", dict)
    return gateway_settings.GatewaySettings(
        vm=_field(found, "node_name", str),
        host=_host(found),
        data_centre=_field(found, "zone", str),
        region=_field(found, "region", str),
        region_of=_regions(found),
        callers=_address(listen, "front"),
        readiness=_address(listen, "ready"),
        lookups=_address(listen, "directory"),
        peer_ports=_ports(found),
        seed_hosts=_seed_hosts(found),
        heartbeat=_number(found, "heartbeat_s", 1.5),
        memory_bytes=int(_number(limits, "memory_mb", 256)) << 20,
        max_descriptors=int(_number(limits, "max_fds", 1024)),
        processor_share=_number(limits, "cpu_share", 1.0) * _number(limits, "cores", 1),
        bounds=_bounds(_field(found, "bounds", dict) if "bounds" in found else {}),
        store=_store(_field(found, "platform", dict)),
    )


def _bounds(found: dict[str, Any]) -> bounds.Bounds:
    defaults = bounds.Bounds()
    # Field names of the platform. "config_apply_s" is the time until the VMs know a new
    # desired state.
    platform_names = {
        "contact": "contact_s",
        "drain": "drain_timeout_s",
        "stop": "grace_s",
        "apply": "config_apply_s",
        "key_withdrawal": "revoke_s",
        "retry_ratio": "retry_budget_ratio",
        "retry_window": "budget_window_s",
        "retry_slack": "budget_slack",
        "rate_window": "quota_window_s",
        "rate_overage": "quota_overage",
        "rate_slack": "quota_slack",
        "canary_share": "canary_share",
        "canary_slack": "canary_slack",
        "cold_factor": "cold_over",
        "cold_slack": "cold_slack",
        "longest_lookup": "ttl_max_s",
        "region_shift": "max_shift",
    }
    values = {
        name: _number(found, platform_name, getattr(defaults, name))
        for name, platform_name in platform_names.items()
    }
    strict = _field(found, "strict_revoke", bool) if "strict_revoke" in found else True
    return bounds.Bounds(**values, strict_withdrawal=strict)


def _store(found: dict[str, Any]) -> store_settings.StoreSettings:
    return store_settings.StoreSettings(
        _address(found, "address"),
        _number(found, "reads_per_s", 1000.0),
        _number(found, "writes_per_s", 100.0),
    )


def _field(table: dict[str, Any], name: str, expected: type) -> Any:
    value = table.get(name)
    if not isinstance(value, expected):
        raise _invalid(f"{name} is missing or not of type {expected.__name__}")
    return value


def _number(table: dict[str, Any], name: str, default: float) -> float:
    """Return a finite number that is not negative, or the default if it is missing."""
    value = table.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= _MAX_NUMBER
    ):
        raise _invalid(f"{name} must be a number from 0 to {_MAX_NUMBER:g}")
    return float(value)


def _regions(found: dict[str, Any]) -> dict[str, str]:
    regions = _field(found, "zones", dict)
    return {name: _field(regions, name, str) for name in regions}


def _ports(found: dict[str, Any]) -> tuple[int, int]:
    ports = _field(found, "internal_ports", list)
    if not ports or not all(
        type(each) is int and 1 <= each <= address.MAX_PORT for each in ports
    ):
        raise _invalid(f"internal_ports must be ports from 1 to {address.MAX_PORT}")
    return ports[0], ports[-1]


def _seed_hosts(found: dict[str, Any]) -> tuple[str, ...]:
    seeds = _field(found, "seeds", list) if "seeds" in found else []
    hosts = []
    for each in seeds:
        try:
            hosts.append(address.parse(str(each)).host)
        except ValueError as exc:
            # A VM can do without a seed.
            _LOG.warning("ignoring the seed %r: %s", each, exc)
    return tuple(hosts)


def _host(found: dict[str, Any]) -> str:
    try:
        return address.parse_host(_field(found, "ip", str))
    except ValueError as exc:
        raise _invalid(f"ip is not an IP address: {exc}") from exc


def _address(table: dict[str, Any], name: str) -> address.Address:
    try:
        return address.parse(_field(table, name, str))
    except ValueError as exc:
        raise _invalid(f"{name} must be HOST:PORT: {exc}") from exc


def _invalid(detail: str) -> error.InvalidInputError:
    return error.InvalidInputError(
        kind.ErrorKind.SETTINGS_INVALID, f"settings: {detail}"
    )
