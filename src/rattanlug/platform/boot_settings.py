"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from typing import Any

from rattanlug.desired import bounds
from rattanlug.errors import error, kind
from rattanlug.settings import address, gateway_settings, store_settings

PATH_VARIABLE = "RATTANLUG_BOOT"


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
    except (OSError, tomllib.TOMLDecodeError) as exc:
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
    ports = _field(found, "internal_ports", list)
    return gateway_settings.GatewaySettings(
        vm=_field(found, "node_name", str),
        host=_field(found, "ip", str),
        data_centre=_field(found, "zone", str),
        region=_field(found, "region", str),
        region_of=dict(_field(found, "zones", dict)),
        callers=_address(listen, "front"),
        readiness=_address(listen, "ready"),
        lookups=_address(listen, "directory"),
        peer_ports=(int(ports[0]), int(ports[-1])),
        seed_hosts=tuple(
            str(each).rpartition(":")[0] for each in found.get("seeds", [])
        ),
        heartbeat=float(found.get("heartbeat_s", 1.5)),
        memory_bytes=int(limits.get("memory_mb", 256)) << 20,
        max_descriptors=int(limits.get("max_fds", 1024)),
        processor_share=float(limits.get("cpu_share", 1.0)) * limits.get("cores", 1),
        bounds=_bounds(found.get("bounds", {})),
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
        name: float(found.get(platform_name, getattr(defaults, name)))
        for name, platform_name in platform_names.items()
    }
    return bounds.Bounds(
        **values, strict_withdrawal=bool(found.get("strict_revoke", True))
    )


def _store(found: dict[str, Any]) -> store_settings.StoreSettings:
    return store_settings.StoreSettings(
        _address(found, "address"),
        float(found.get("reads_per_s", 1000.0)),
        float(found.get("writes_per_s", 100.0)),
    )


def _field(table: dict[str, Any], name: str, expected: type) -> Any:
    value = table.get(name)
    if not isinstance(value, expected):
        raise error.InvalidInputError(
            kind.ErrorKind.SETTINGS_INVALID,
            f"settings: {name} must be of type {expected.__name__}",
        )
    return value


def _address(table: dict[str, Any], name: str) -> address.Address:
    host, _, port = _field(table, name, str).rpartition(":")
    if not port.isdigit():
        raise error.InvalidInputError(
            kind.ErrorKind.SETTINGS_INVALID, f"settings: {name} must be HOST:PORT"
        )
    return address.Address(host, int(port))
