"""Encodes and applies the membership part of gossip messages."""

import random
from collections.abc import Iterable

from rattanlug.membership import member_state, view
from rattanlug.peer import member_updates
from rattanlug.peer.generated import ttypes

_MAX_PAGE_MEMBERS = 1000


class GossipExchange:
    """Exchanges the updates of a membership view in gossip messages.

    The daemon adds the other fields: evidence, ages of data centres, load and finished
    moves.

    Parameters
    ----------
    members : view.MembershipView
    rng : random.Random
    """

    def __init__(self, members: view.MembershipView, rng: random.Random):
        self._view = members
        self._rng = rng
        self._unknown_peers: set[str] = set()

    def make_request(self, vm: str, now: float) -> ttypes.Gossip:
        """Return the gossip request to a peer.

        Parameters
        ----------
        vm : str
            Name of the peer, empty if only its address is known.
        now : float
        """
        bucket = self._view.next_bucket()
        message = self._make_message(bucket, now, vm)
        if not vm or vm in self._unknown_peers:
            message.sender_unknown = True
        return message

    def handle_request(
        self, message: ttypes.Gossip, vm: str, now: float
    ) -> ttypes.Gossip:
        """Apply a request of the VM named ``vm`` and return the response."""
        known = self._apply_message(message, vm, now, now)
        response = self._make_message(message.bucket, now, vm)
        response.sender_unknown = None if known else True
        updates = []
        if message.sender_unknown:
            updates = [self._view.own_update(now)]
        if message.bucket_digest != response.bucket_digest:
            limit = view.MAX_UPDATES - len(response.members or ())
            updates += self._view.bucket_updates(
                message.bucket, now, self._rng, limit - len(updates)
            )
        if updates:
            response.members = (response.members or []) + _to_wire(updates)
        return response

    def handle_response(
        self, message: ttypes.Gossip, vm: str, asked_at: float, now: float
    ) -> None:
        """Apply the response of ``vm`` to the request sent at ``asked_at``, seconds."""
        if self._apply_message(message, vm, asked_at, now):
            self._unknown_peers.discard(vm)
        else:
            self._unknown_peers.add(vm)
        if message.sender_unknown:
            self._view.send_own_record(now)

    def make_page(self, message: ttypes.FetchMembers, now: float) -> ttypes.Members:
        """Return the page of the member list that follows ``message.after``."""
        updates = self._view.page(message.after, now, _MAX_PAGE_MEMBERS)
        return ttypes.Members(_to_wire(updates), len(updates) == _MAX_PAGE_MEMBERS)

    def merge_page(self, message: ttypes.Members, now: float) -> str:
        """Merge a page of the member list; return the next ``after``, or empty."""
        self._view.merge(_from_wire(message.members), now, bootstrap=True)
        if not message.more or not message.members:
            return ""
        return message.members[-1].vm

    def _make_message(self, bucket: int, now: float, peer: str) -> ttypes.Gossip:
        own = self._view.own
        updates = self._view.take_updates(now, peer=peer)
        return ttypes.Gossip(
            incarnation=own.incarnation,
            state=int(own.state),
            members=_to_wire(updates) if updates else None,
            config_version=own.config_version,
            bucket=bucket,
            bucket_digest=self._view.bucket_digest(bucket),
        )

    def _apply_message(self, message, vm, heard_at, now):
        if message.members:
            self._view.merge(_from_wire(message.members), now)
        try:
            new_state = member_state.MemberState(message.state)
        except ValueError:
            new_state = None
        return self._view.record_direct_contact(
            vm, message.incarnation, heard_at, new_state, message.config_version
        )


def _to_wire(updates) -> list[ttypes.MemberUpdate]:
    return [member_updates.to_wire(item) for item in updates]


def _from_wire(messages: Iterable[ttypes.MemberUpdate]):
    return [
        item for item in map(member_updates.from_wire, messages) if item is not None
    ]
