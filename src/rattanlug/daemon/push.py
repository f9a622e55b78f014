"""Sends a new configuration version to the other VMs."""

from collections.abc import Callable

import trio

from rattanlug.coordination import contact
from rattanlug.daemon import configuration_sync
from rattanlug.errors import error as error_tree
from rattanlug.membership import member, view
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

    async def __call__(
        self,
        sync: configuration_sync.ConfigurationSync,
        from_version: int,
        from_digest: str,
    ) -> list[str]:
        """Push the version in force.

        Parameters
        ----------
        sync : configuration_sync.ConfigurationSync
        from_version : int
            Version that most VMs have; they get the deltas from it.
        from_digest : str

        Returns
        -------
        list of str
            Names of the VMs that have not acknowledged it within 2 s.
        """
        deltas = ttypes.PushConfiguration(sync.to_message(from_version, from_digest))
        full = ttypes.PushConfiguration(sync.to_message())
        own = self._members.own.vm
        missing: list[str] = []
        async with trio.open_nursery() as nursery:
            for record in self._members.live_members(self._clock()):
                if record.vm != own:
                    nursery.start_soon(self._send, record, (deltas, full), missing)
        return sorted(missing)

    async def _send(
        self,
        record: member.Member,
        messages: tuple[ttypes.PushConfiguration, ...],
        missing: list[str],
    ) -> None:
        """Send the deltas, then the full text if the VM cannot apply them."""
        with trio.move_on_after(_TIMEOUT_SECONDS):
            for message in messages:
                wanted = message.configuration.version
                try:
                    answer = await self._peers.call(
                        address.Address(*record.peer_address),
                        message,
                        _TIMEOUT_SECONDS,
                    )
                except (peer_error.PeerError, error_tree.RattanlugError):
                    break
                self._majority.observe_version(record.data_centre, answer.version)
                if answer.version >= wanted:
                    return
        missing.append(record.vm)
