"""Decodes look-ups of callers and encodes the answers."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rattanlug.fleet import digest


class Lookup(NamedTuple):
    """A caller's question which VMs to use.

    Attributes
    ----------
    host : str
        Host of the routes that the caller wants.
    data_centre, region : str
        Where the caller is.
    """

    host: str
    data_centre: str
    region: str


def decode(parameters: Mapping[str, str]) -> Lookup:
    """Decode the query of a look-up."""
    return Lookup(
        parameters.get("name", ""),
        parameters.get("zone", ""),
        parameters.get("region", ""),
    )


def encode(vms: Iterable[digest.Digest], seconds: float) -> dict[str, object]:
    """Encode an answer that callers keep for some seconds."""
    addresses = [f"{each.host}:{each.port}" for each in vms]
    return {"addresses": addresses, "ttl_s": seconds}
