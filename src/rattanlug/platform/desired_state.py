"""Decodes the desired state that operators write."""

from typing import Any

from rattanlug.desired import (
    key_index,
    limits,
    organisation,
    part,
    route,
    service,
    state,
)
from rattanlug.platform import decoding


def decode(data: bytes) -> state.DesiredState:
    """Decode the row that holds the desired state.

    Raises
    ------
    decoding.UnreadableError
    """
    found = decoding.json_object(data)
    return state.DesiredState(
        version=version_number(decoding.field(found, "version", str, int)),
        routes=tuple(
            _route(decoding.field(host, "hostname", str), each)
            for host in decoding.field(found, "virtual_hosts", list)
            for each in decoding.field(host, "paths", list)
        ),
        services={
            each["name"]: _service(each)
            for each in decoding.field(found, "services", list)
        },
        organisations=tuple(_organisation(each) for each in found.get("tenants") or ()),
        limits=_limits(found.get("limits") or {}),
    )


def version_number(text: str | int) -> int:
    """Return the number of a version such as ``r12``.

    Raises
    ------
    decoding.UnreadableError
    """
    digits = str(text).lstrip("r")
    if not digits.isdigit():
        raise decoding.UnreadableError(f"{text!r} is no version")
    return int(digits)


def _route(host: str, found: dict[str, Any]) -> route.Route:
    split = found.get("traffic_split")
    if split:
        parts = tuple(
            part.Part(each["service"], decoding.number(each, "weight"))
            for each in split
        )
    else:
        parts = (part.Part(decoding.field(found, "service", str), 1.0),)
    timeout = decoding.number(found, "timeout_s")
    return route.Route(
        name=decoding.field(found, "name", str),
        host=host,
        prefix=decoding.field(found, "prefix", str),
        # "safe" says that a request may run more than once.
        idempotent=found.get("kind") == "safe",
        timeout=timeout,
        target_latency=decoding.number(found, "target_latency_s", timeout),
        priority=int(decoding.number(found, "priority", 0)),
        parts=parts,
        max_attempts=max(1, int(decoding.number(found, "max_attempts", 1))),
        public=bool(found.get("public")),
        affinity=bool(found.get("session_affinity")),
        home_regions=frozenset(found.get("home_regions") or ()),
    )


def _service(found: dict[str, Any]) -> service.Service:
    return service.Service(
        name=decoding.field(found, "name", str),
        max_connections=int(decoding.number(found, "max_conns", 100)),
        warmup=decoding.number(found, "warmup_s", 0.0),
        warmup_rate=decoding.number(found, "warmup_per_s", 0.0),
    )


def _organisation(found: dict[str, Any]) -> organisation.Organisation:
    rank = found.get("priority")
    return organisation.Organisation(
        name=decoding.field(found, "name", str),
        key_hashes=frozenset(
            key_index.key_hash(each) for each in found.get("api_keys") or ()
        ),
        priority=None if rank is None else int(rank),
        rate=decoding.number(found, "rate_per_s", 0.0),
        burst=decoding.number(found, "burst", 0.0),
        home_regions=frozenset(found.get("home_regions") or ()),
    )


def _limits(found: dict[str, Any]) -> limits.Limits:
    default = limits.Limits()
    return limits.Limits(
        body_bytes=int(decoding.number(found, "max_body_bytes", default.body_bytes)),
        idle_seconds=decoding.number(found, "idle_timeout_s", default.idle_seconds),
    )
