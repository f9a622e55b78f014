"""Converts configuration versions to and from messages."""

import zlib

from rattanlug.configuration import configuration_state, delta, offer_result
from rattanlug.peer import error
from rattanlug.peer.generated import ttypes

#: Without the limit, a compressed text of one frame could expand to a gigabyte.
_MAX_TEXT_BYTES = 16 << 20


def to_message(
    state: configuration_state.ConfigurationState,
    from_version: int = 0,
    from_digest: str = "",
) -> ttypes.ConfigurationData:
    """Return the version in force for a peer.

    Parameters
    ----------
    state : configuration_state.ConfigurationState
    from_version : int
        Version that the peer has. Deltas from it are sent if the state still has
        them, otherwise the full text.
    from_digest : str

    Returns
    -------
    ttypes.ConfigurationData
    """
    message = ttypes.ConfigurationData(state.version, state.digest)
    deltas = state.deltas_since(from_version, from_digest)
    if deltas is None:
        message.compressed_text = zlib.compress(state.text.encode())
        return message
    message.deltas = [
        ttypes.ConfigurationDelta(
            step.base_version, step.base_version + 1, step.digest, step.text
        )
        for step in deltas
    ]
    return message


def offer_message(
    state: configuration_state.ConfigurationState,
    message: ttypes.ConfigurationData,
    now: float,
) -> offer_result.OfferResult:
    """Offer the content of a message to the state.

    Parameters
    ----------
    state : configuration_state.ConfigurationState
    message : ttypes.ConfigurationData
    now : float

    Returns
    -------
    offer_result.OfferResult
        Result for the last delta that was offered.

    Raises
    ------
    error.MalformedMessageError
        If the text cannot be decompressed.
    """
    if message.compressed_text is not None:
        text = _decompress(message.compressed_text)
        return state.offer(message.version, message.digest, text, now)
    result = offer_result.OfferResult.KNOWN
    for wire_delta in message.deltas or ():
        step = delta.Delta(
            wire_delta.base_version, state.digest, wire_delta.digest, wire_delta.text
        )
        result = state.offer(wire_delta.version, wire_delta.digest, step, now)
        if result not in (
            offer_result.OfferResult.APPLIED,
            offer_result.OfferResult.KNOWN,
        ):
            return result
    if state.version < message.version:
        return offer_result.OfferResult.NEEDS_TEXT
    return result


def _decompress(data: bytes) -> str:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, _MAX_TEXT_BYTES).decode()
    except (zlib.error, UnicodeDecodeError) as exc:
        raise error.MalformedMessageError(f"configuration text: {exc}") from exc
    if not decompressor.eof:
        raise error.MalformedMessageError(
            "the configuration text is truncated or too long"
        )
    return text
