"""Sends a new configuration version to the other VMs."""

import zlib
from collections.abc import Callable

import trio

from rattanlug.coordination import contact
from rattanlug.daemon import stored_version
from rattanlug.errors import error as error_tree
from rattanlug.membership import view
from rattanlug.peer import client as peer_client
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address

_TIMEOUT_SECONDS = 2.0


class Push:
    """Pushes a version to every live VM at the same time.

    Parameters
    ----------
    members : view.MembershipView
    peers : peer_client.PeerClient
    majority : contact.MajorityContact
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        members: view.MembershipView,
        peers: peer_client.PeerClient,
        majority: contact.MajorityContact,
        clock: Callable[[], float],
    ) -> None:
        self._members = members
        self._peers = peers
        self._majority = majority
        self._clock = clock

    async def __call__(self, version: stored_version.StoredVersion) -> list[str]:
        """Push a version.

        Parameters
        ----------
        version : stored_version.StoredVersion

        Returns
        -------
        list of str
            Names of the VMs that have not acknowledged it within 2 s.
        """
        message = ttypes.PushConfiguration(to_data(version))
        own = self._members.own.vm
        missing: list[str] = []
        async with trio.open_nursery() as nursery:
            for record in self._members.live_members(self._clock()):
                if record.vm != own:
                    nursery.start_soon(self._send, record, message, missing)
        return sorted(missing)

    async def _send(self, record, message, missing: list[str]) -> None:
        wanted = message.configuration.version
        try:
            answer = await self._peers.call(
                address.Address(*record.peer_address), message, _TIMEOUT_SECONDS
            )
        except (peer_error.PeerError, error_tree.RattanlugError):
            missing.append(record.vm)
            return
        self._majority.observe_version(record.data_centre, answer.version)
        if answer.version < wanted:
            missing.append(record.vm)


def to_data(version: stored_version.StoredVersion) -> ttypes.ConfigurationData:
    """Return the message form of a version."""
    return ttypes.ConfigurationData(
        version=version.version,
        digest=version.digest,
        compressed_text=zlib.compress(version.to_bytes()),
        author=version.author,
    )


def from_data(data: ttypes.ConfigurationData) -> stored_version.StoredVersion | None:
    """Return the version that a message carries, or None when it is damaged."""
    try:
        found = stored_version.StoredVersion.from_bytes(
            zlib.decompress(data.compressed_text or b"")
        )
    except (zlib.error, ValueError):
        return None
    if found.version != data.version or found.digest != data.digest:
        return None
    return found
