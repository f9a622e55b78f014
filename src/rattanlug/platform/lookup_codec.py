"""Decodes callers' look-ups and encodes the responses."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rattanlug.fleet import digest


class Lookup(NamedTuple):
    """A caller's request for the VMs that it should use.

    Attributes
    ----------
    host : str
        Host name whose routes the caller uses.
    data_centre, region : str
        Location of the caller.
    """

    host: str
    data_centre: str
    region: str


def decode(parameters: Mapping[str, str]) -> Lookup:
    """Decode the query parameters of a look-up."""
    return Lookup(
        parameters.get("name", ""),
        parameters.get("zone", ""),
        parameters.get("region", ""),
    )


def encode(vms: Iterable[digest.Digest], ttl_seconds: float) -> dict[str, object]:
    """Encode a response that callers may cache for the TTL."""
    addresses = [f"{each.host}:{each.port}" for each in vms]
    return {"addresses": addresses, "ttl_s": ttl_seconds}
