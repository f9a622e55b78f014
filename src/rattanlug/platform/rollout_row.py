"""Decodes orders to move a service to a version, and encodes their outcome."""

import json

from rattanlug.canary import rollout_order, rollout_state
from rattanlug.platform import decoding, names
from rattanlug.tables import store_row

_WORDS = {
    rollout_state.RolloutState.RUNNING: "running",
    rollout_state.RolloutState.COMPLETE: "complete",
    rollout_state.RolloutState.ROLLED_BACK: "rolled_back",
}
_STATES = {word: state for state, word in _WORDS.items()}


def decode_order(row: store_row.StoreRow) -> rollout_order.RolloutOrder:
    """Decode an operator's order.

    Raises
    ------
    decoding.UnreadableError
    """
    found = decoding.json_object(row.value)
    return rollout_order.RolloutOrder(
        service=decoding.field(found, "service", str),
        target=decoding.field(found, "target", str),
        duration=decoding.number(found, "duration_s"),
        row_version=row.version,
    )


def status_key(service: str) -> str:
    """Return the key of the row that tells operators how a move stands."""
    return names.ROLLOUT_PREFIX + service


def encode_status(
    service: str, target: str, state: rollout_state.RolloutState
) -> bytes:
    """Encode how a move stands."""
    found = {"service": service, "target": target, "state": _WORDS[state]}
    return json.dumps(found, separators=(",", ":")).encode()


def decode_status(data: bytes) -> tuple[str, rollout_state.RolloutState]:
    """Decode how a move stands: its target and its state.

    Raises
    ------
    decoding.UnreadableError
    """
    found = decoding.json_object(data)
    state = _STATES.get(decoding.field(found, "state", str))
    if state is None:
        raise decoding.UnreadableError("the state of the move is unknown")
    return decoding.field(found, "target", str), state
