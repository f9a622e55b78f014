"""Rendezvous hashing of objects to upstreams."""

import hashlib
from collections.abc import Sequence

from rattanlug.discovery import upstream_record

_MAX_CACHED_HOMES = 20_000


class RendezvousHash:
    """Assigns each object to one upstream of a group, its home.

    All VMs compute the same homes without exchanging messages. A change of the group
    moves only the objects of the upstreams that were added or removed.
    """

    def __init__(self) -> None:
        self._homes: dict[tuple[str, str, str], str] = {}

    def clear(self) -> None:
        """Clear the cache after a change of the registered upstreams."""
        self._homes.clear()

    def cached(self, object_id: str, group_key: str, location: str) -> str | None:
        """Return the cached home of an object, or None."""
        return self._homes.get((object_id, group_key, location))

    def home(
        self,
        object_id: str,
        group_key: str,
        location: str,
        group: Sequence[upstream_record.UpstreamRecord],
    ) -> str:
        """Return the id of the upstream that is the home of an object.

        Parameters
        ----------
        object_id : str
        group_key, location : str
            Identify the group in the cache: the service, versions and exclusions that
            select it, and its data centre or region.
        group : sequence of upstream_record.UpstreamRecord
            Candidates; not empty.
        """
        cache_key = (object_id, group_key, location)
        upstream_id = self._homes.get(cache_key)
        if upstream_id is None:
            upstream_id = max(group, key=lambda each: _weight(object_id, each.id)).id
            if len(self._homes) >= _MAX_CACHED_HOMES:
                self._homes.clear()
            self._homes[cache_key] = upstream_id
        return upstream_id


def _weight(object_id: str, upstream_id: str) -> bytes:
    return hashlib.blake2b(
        f"{object_id}\0{upstream_id}".encode(), digest_size=8
    ).digest()
