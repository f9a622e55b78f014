"""Members with indexes by data centre and bucket."""

import collections
import zlib
from collections.abc import Collection, Iterator

from rattanlug.membership import member

BUCKETS = 64
#: Bucket number that stands for the whole table.
WHOLE_TABLE = BUCKETS


def bucket_of(vm: str) -> int:
    """Return the bucket in which the table keeps ``vm``."""
    return zlib.crc32(vm.encode()) % BUCKETS


def _signature(record: member.Member) -> int:
    return zlib.crc32(f"{record.vm} {record.incarnation} {record.state:d}".encode())


class MemberTable:
    """Members by name, data centre and bucket.

    Each member is in one of 64 buckets, chosen by a hash of its name. The digest of a
    bucket is a checksum of its live members' names, incarnations and states. Two VMs
    compare the digest of one bucket in each message. A difference shows that one of
    them missed a change.
    """

    def __init__(self):
        self._members: dict[str, member.Member] = {}
        # Names of live members by data centre; dictionaries serve as ordered sets.
        self._live: dict[str, dict[str, None]] = {}
        self._live_count = 0
        self._dead: dict[str, None] = {}
        self._buckets = [{} for _ in range(BUCKETS)]
        self._digests = [0] * (BUCKETS + 1)
        self._protocols = collections.Counter()
        self._addresses: dict[tuple[str, int], str] = {}

    @property
    def live_count(self) -> int:
        """Number of members that are not dead."""
        return self._live_count

    @property
    def dead(self) -> Collection[str]:
        """Names of dead members."""
        return self._dead.keys()

    @property
    def lowest_protocol_version(self) -> int:
        """Lowest protocol version among the members that are not dead."""
        return min(self._protocols)

    def get(self, vm: str) -> member.Member | None:
        """Return a member, dead or alive."""
        return self._members.get(vm)

    def live_data_centres(self) -> list[str]:
        """Return the data centres that have a member that is not dead."""
        return sorted(self._live)

    def live_names(self, data_centre: str) -> Collection[str]:
        """Return the members of a data centre that are not dead."""
        return self._live.get(data_centre, {}).keys()

    def has_live_address(self, peer_address: tuple[str, int]) -> bool:
        """Return whether ``peer_address`` belongs to a member that is not dead."""
        return peer_address in self._addresses

    def digest(self, bucket: int) -> int:
        """Return a signed 32-bit digest of the live members of a bucket.

        ``WHOLE_TABLE`` gives the digest of all live members.
        """
        return self._digests[bucket] - 2**31

    def bucket(self, bucket: int) -> Iterator[member.Member]:
        """Return the members of a bucket, dead or alive."""
        return (self._members[vm] for vm in self._buckets[bucket])

    def put(self, record: member.Member) -> None:
        """Add or replace a member."""
        old = self._members.get(record.vm)
        self._members[record.vm] = record
        if old is not None and _has_same_indexes(old, record):
            return
        if old is not None:
            self._unindex(old)
        self._index(record)

    def remove(self, vm: str) -> None:
        """Remove a member."""
        self._unindex(self._members.pop(vm))

    def _index(self, record):
        bucket = bucket_of(record.vm)
        self._buckets[bucket][record.vm] = None
        if record.dead:
            self._dead[record.vm] = None
            return
        self._live.setdefault(record.data_centre, {})[record.vm] = None
        self._live_count += 1
        signature = _signature(record)
        self._digests[bucket] ^= signature
        self._digests[WHOLE_TABLE] ^= signature
        self._protocols[record.protocol_version] += 1
        self._addresses[record.peer_address] = record.vm

    def _unindex(self, record):
        bucket = bucket_of(record.vm)
        del self._buckets[bucket][record.vm]
        if record.dead:
            del self._dead[record.vm]
            return
        names = self._live[record.data_centre]
        del names[record.vm]
        if not names:
            del self._live[record.data_centre]
        self._live_count -= 1
        signature = _signature(record)
        self._digests[bucket] ^= signature
        self._digests[WHOLE_TABLE] ^= signature
        self._protocols[record.protocol_version] -= 1
        if not self._protocols[record.protocol_version]:
            del self._protocols[record.protocol_version]
        if self._addresses.get(record.peer_address) == record.vm:
            del self._addresses[record.peer_address]


def _has_same_indexes(old: member.Member, new: member.Member) -> bool:
    return (
        old.dead == new.dead
        and old.incarnation == new.incarnation
        and old.state == new.state
        and old.data_centre == new.data_centre
        and old.protocol_version == new.protocol_version
        and old.peer_address == new.peer_address
    )
