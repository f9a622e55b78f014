"""Decodes rollout orders and encodes the status of rollouts."""

import json

from rattanlug.canary import rollout_order, rollout_state
from rattanlug.platform import decoding, names
from rattanlug.tables import store_row

_STATE_NAMES = {
    rollout_state.RolloutState.RUNNING: "running",
    rollout_state.RolloutState.COMPLETE: "complete",
    rollout_state.RolloutState.ROLLED_BACK: "rolled_back",
}
_STATES_BY_NAME = {name: state for state, name in _STATE_NAMES.items()}


def decode_order(row: store_row.StoreRow, era: int = 0) -> rollout_order.RolloutOrder:
    """Decode an operator's rollout order.

    Raises
    ------
    decoding.MalformedValueError
    """
    found = decoding.json_object(row.value)
    return rollout_order.RolloutOrder(
        service=decoding.field(found, "service", str),
        target=decoding.field(found, "target", str),
        duration=decoding.number(found, "duration_s"),
        row_version=row.version,
        era=era,
    )


def status_key(service: str) -> str:
    """Return the key of the row with the status of a service's rollout."""
    return names.ROLLOUT_PREFIX + service


def encode_status(
    service: str, target: str, state: rollout_state.RolloutState
) -> bytes:
    """Encode the status of a rollout."""
    found = {"service": service, "target": target, "state": _STATE_NAMES[state]}
    return json.dumps(found, separators=(",", ":")).encode()


def decode_status(data: bytes) -> tuple[str, rollout_state.RolloutState]:
    """Decode the status of a rollout: its target and its state.

    Raises
    ------
    decoding.MalformedValueError
    """
    found = decoding.json_object(data)
    state = _STATES_BY_NAME.get(decoding.field(found, "state", str))
    if state is None:
        raise decoding.MalformedValueError("state is not a known state of a rollout")
    return decoding.field(found, "target", str), state
