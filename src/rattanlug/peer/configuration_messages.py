"""Converts configuration versions to and from messages."""

import zlib

from rattanlug.configuration import configuration_state, delta, offer_result
from rattanlug.peer import error
from rattanlug.peer.generated import ttypes

#: A compressed text of one frame could otherwise expand to a gigabyte.
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
        Version that the peer has; deltas are sent if they are kept.
    from_digest : str

    Returns
    -------
    ttypes.ConfigurationData
    """
    message = ttypes.ConfigurationData(state.version, state.digest)
    steps = state.deltas_since(from_version, from_digest)
    if steps is None:
        message.compressed_text = zlib.compress(state.text.encode())
        return message
    message.deltas = [
        ttypes.ConfigurationDelta(
            step.base_version, step.base_version + 1, step.digest, step.text
        )
        for step in steps
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
        Of the last step that was offered.

    Raises
    ------
    error.MalformedMessageError
        If the text cannot be decompressed.
    """
    if message.compressed_text is not None:
        text = _decompress(message.compressed_text)
        return state.offer(message.version, message.digest, text, now)
    result = offer_result.OfferResult.KNOWN
    for part in message.deltas or ():
        step = delta.Delta(part.base_version, state.digest, part.digest, part.text)
        result = state.offer(part.version, part.digest, step, now)
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
        raise error.MalformedMessageError("the configuration text is cut or too long")
    return text
