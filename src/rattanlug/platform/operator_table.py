"""Decodes what operators write: desired state, rollout orders and evacuations."""

import logging

from rattanlug.canary import rollout_order
from rattanlug.desired import state
from rattanlug.platform import (
    decoding,
    desired_state,
    names,
    rollout_row,
)
from rattanlug.tables import held_rows, store_read, store_row

_LOG = logging.getLogger(__name__)


class OperatorTable:
    """Decodes the operators' rows.

    A row that cannot be decoded is logged and ignored, and its previous value stays in
    effect. One whose decoding raises an unexpected error does not hide other rows, and
    is decoded again at the next read of the whole table.
    """

    def __init__(self) -> None:
        self._rows = held_rows.HeldRows()
        # Era of the store at the latest read.
        self._era = 0
        self._desired: state.DesiredState | None = None
        self._orders: dict[str, rollout_order.RolloutOrder] = {}
        self._evacuated: set[str] = set()
        self._failed: set[str] = set()

    @property
    def desired(self) -> state.DesiredState | None:
        """Latest desired state."""
        return self._desired

    @property
    def orders(self) -> dict[str, rollout_order.RolloutOrder]:
        """Rollout orders, by service."""
        return self._orders

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose upstreams must not receive requests."""
        return frozenset(self._evacuated)

    @property
    def held(self) -> list[str]:
        """Keys that the store, back from a copy, shows otherwise than is in force."""
        return self._rows.held

    @property
    def failed(self) -> frozenset[str]:
        """Keys of the rows whose latest decoding raised an unexpected error."""
        return frozenset(self._failed)

    def apply_all(self, read: store_read.StoreRead) -> None:
        """Apply a read of the whole table."""
        self._era = read.era
        for row in self._rows.changes(read, whole=True):
            self._apply(row)

    def apply_changes(self, read: store_read.StoreRead) -> None:
        """Apply changed rows."""
        self._era = read.era
        for row in self._rows.changes(read, whole=False):
            self._apply(row)

    def _apply(self, row: store_row.StoreRow) -> None:
        try:
            self._decode(row)
        except decoding.MalformedValueError as exc:
            _LOG.warning(
                "ignoring unreadable operator row",
                extra={"row": row.key, "reason": str(exc)},
            )
        except Exception:
            if row.key not in self._failed:
                _LOG.exception(
                    "unexpected error in an operator row", extra={"row": row.key}
                )
            self._failed.add(row.key)
            return
        self._failed.discard(row.key)

    def _decode(self, row: store_row.StoreRow) -> None:
        kind, _, name = row.key.partition("/")
        if row.key == names.DESIRED_STATE_KEY and not row.removed:
            self._desired = desired_state.decode(row.value)
        elif f"{kind}/" == names.ROLLOUT_PREFIX:
            if row.removed:
                self._orders.pop(name, None)
            else:
                self._orders[name] = rollout_row.decode_order(row, self._era)
        elif f"{kind}/" == names.EVACUATION_PREFIX:
            (self._evacuated.discard if row.removed else self._evacuated.add)(name)
