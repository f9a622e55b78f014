"""Assigns each object to one upstream of a group, the same on every VM."""

import hashlib
from collections.abc import Sequence

from rattanlug.discovery import upstream_record

_MAX_CACHED = 20_000


class RendezvousHash:
    """Rendezvous hashing with a cache.

    All VMs agree on the homes without messages, and a change of the group moves only
    the objects of the upstreams that came or went.
    """

    def __init__(self) -> None:
        self._homes: dict[tuple[str, str, str], str] = {}

    def clear(self) -> None:
        """Drop cached homes, since the upstreams changed."""
        self._homes.clear()

    def known(self, object_id: str, service: str, place: str) -> str | None:
        """Return the home that was assigned before, if there is one."""
        return self._homes.get((object_id, service, place))

    def home(
        self,
        object_id: str,
        service: str,
        place: str,
        group: Sequence[upstream_record.UpstreamRecord],
    ) -> str:
        """Return the id of the upstream of a group that is home of an object.

        Parameters
        ----------
        object_id : str
        service, place : str
            Name the group in the cache; the place is a data centre or a region.
        group : sequence of upstream_record.UpstreamRecord
            Not empty.
        """
        identity = (object_id, service, place)
        found = self._homes.get(identity)
        if found is None:
            found = max(group, key=lambda each: _weight(object_id, each.id)).id
            if len(self._homes) >= _MAX_CACHED:
                self._homes.clear()
            self._homes[identity] = found
        return found


def _weight(object_id: str, upstream_id: str) -> bytes:
    return hashlib.blake2b(
        f"{object_id}\0{upstream_id}".encode(), digest_size=8
    ).digest()
