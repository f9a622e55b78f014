"""Decodes the desired state that operators write."""

import math
from typing import Any

from rattanlug.desired import (
    key_index,
    limits,
    organisation,
    route,
    service,
    state,
    weighted_service,
)
from rattanlug.platform import decoding

_MAX_VERSION_DIGITS = len(str(decoding.MAX_INTEGER))


def decode(data: bytes) -> state.DesiredState:
    """Decode the row that holds the desired state.

    Raises
    ------
    decoding.MalformedValueError
    """
    found = decoding.json_object(data)
    return state.DesiredState(
        version=version_number(decoding.field(found, "version", str, int)),
        routes=tuple(
            _decode_route(decoding.field(host, "hostname", str), each)
            for host in decoding.objects(found, "virtual_hosts", required=True)
            for each in decoding.objects(host, "paths", required=True)
        ),
        services={
            each.name: each
            for each in map(
                _decode_service, decoding.objects(found, "services", required=True)
            )
        },
        organisations=tuple(
            _decode_organisation(each) for each in decoding.objects(found, "tenants")
        ),
        limits=_decode_limits(found),
    )


def version_number(text: str | int) -> int:
    """Return the number in a version such as ``r12``.

    Raises
    ------
    decoding.MalformedValueError
    """
    digits = str(text).lstrip("r")
    if not (digits.isascii() and digits.isdigit()):
        raise decoding.MalformedValueError(
            f"{text!r} is not a version number such as r12"
        )
    number = int(digits) if len(digits) <= _MAX_VERSION_DIGITS else math.inf
    if number > decoding.MAX_INTEGER:
        raise decoding.MalformedValueError("the version number is too large")
    return number


def _decode_route(host: str, found: dict[str, Any]) -> route.Route:
    timeout = decoding.number(found, "timeout_s")
    if timeout <= 0.0:
        raise decoding.MalformedValueError("timeout_s must be positive")
    return route.Route(
        name=decoding.field(found, "name", str),
        host=host,
        prefix=decoding.field(found, "prefix", str),
        # "safe" means that a request may be executed more than once.
        idempotent=found.get("kind") == "safe",
        timeout=timeout,
        target_latency=decoding.number(found, "target_latency_s", timeout),
        priority=int(decoding.number(found, "priority", 0)),
        weighted_services=_weighted_services(found),
        max_attempts=max(1, int(decoding.number(found, "max_attempts", 1))),
        public=decoding.flag(found, "public"),
        affinity=decoding.flag(found, "session_affinity"),
        home_regions=frozenset(decoding.strings(found, "home_regions")),
    )


def _weighted_services(
    found: dict[str, Any],
) -> tuple[weighted_service.WeightedService, ...]:
    split = decoding.objects(found, "traffic_split")
    if not split:
        return (
            weighted_service.WeightedService(
                decoding.field(found, "service", str), 1.0
            ),
        )
    weighted_services = tuple(
        weighted_service.WeightedService(
            decoding.field(each, "service", str),
            decoding.require_at_least(decoding.number(each, "weight"), 0.0, "weight"),
        )
        for each in split
    )
    if not any(each.weight for each in weighted_services):
        raise decoding.MalformedValueError(
            "traffic_split has no entry with a positive weight"
        )
    return weighted_services


def _decode_service(found: dict[str, Any]) -> service.Service:
    return service.Service(
        name=decoding.field(found, "name", str),
        max_connections=int(decoding.number(found, "max_conns", 100)),
        warmup=decoding.number(found, "warmup_s", 0.0),
        warmup_rate=decoding.number(found, "warmup_per_s", 0.0),
    )


def _decode_organisation(found: dict[str, Any]) -> organisation.Organisation:
    has_priority = found.get("priority") is not None
    return organisation.Organisation(
        name=decoding.field(found, "name", str),
        key_hashes=frozenset(
            key_index.key_hash(each) for each in decoding.strings(found, "api_keys")
        ),
        priority=int(decoding.number(found, "priority")) if has_priority else None,
        rate=_non_negative(found, "rate_per_s"),
        burst=_non_negative(found, "burst"),
        home_regions=frozenset(decoding.strings(found, "home_regions")),
    )


def _non_negative(found: dict[str, Any], name: str, default: float = 0.0) -> float:
    return decoding.require_at_least(decoding.number(found, name, default), 0.0, name)


def _decode_limits(desired: dict[str, Any]) -> limits.Limits:
    defaults = limits.Limits()
    if desired.get("limits") is None:
        return defaults
    found = decoding.field(desired, "limits", dict)
    return limits.Limits(
        body_bytes=int(_non_negative(found, "max_body_bytes", defaults.body_bytes)),
        head_bytes=int(_non_negative(found, "max_header_bytes", defaults.head_bytes)),
        head_seconds=_non_negative(found, "header_timeout_s", defaults.head_seconds),
        idle_seconds=_non_negative(found, "idle_timeout_s", defaults.idle_seconds),
    )
