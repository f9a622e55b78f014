"""A route: method and path prefix of a service."""

import enum
from typing import NamedTuple


class Semantics(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Access(enum.Enum):
    """Whether a request needs the key of an organisation."""

    KEYED = "keyed"
    OPEN = "open"


class Route(NamedTuple):
    """Requests with one method and path prefix, and how they are handled.

    Attributes
    ----------
    name : str
    service : str
    method : str
        HTTP method in capitals.
    path : str
        Path prefix that starts with a slash.
    semantics : Semantics
    access : Access
    """

    name: str
    service: str
    method: str
    path: str
    semantics: Semantics
    access: Access
