"""Answers look-ups from the configuration and the members."""

import hashlib
import ipaddress

from rattanlug.daemon import active_configuration
from rattanlug.membership import member, view

_VMS_IN_ANSWER = 3


class LookupAccess:
    """Ranks VMs for clients.

    Parameters
    ----------
    active : active_configuration.ActiveConfiguration
    members : view.MembershipView
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        members: view.MembershipView,
    ) -> None:
        self._active = active
        self._members = members

    def resolve(self, client: str, now: float) -> list[member.Member]:
        """Return up to three VMs for a client."""
        ipaddress.ip_address(client)
        serving = [
            record
            for centre in self._active.configuration.data_centres
            for record in self._members.serving_members(now, centre)
        ]
        serving.sort(key=lambda record: _weight(client, record.vm))
        return serving[:_VMS_IN_ANSWER]


def _weight(client: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{client}\n{vm}".encode(), digest_size=8).digest()
