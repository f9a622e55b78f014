"""Matches requests to routes."""

import re

from rattanlug.errors import error, kind
from rattanlug.model import configuration, route

_AMBIGUOUS_RAW = re.compile(rb"%2f|%5c|%(?![0-9a-f]{2})|[#\\]", re.IGNORECASE)
# An upstream may decode a second time what is still encoded after one decoding.
_AMBIGUOUS = re.compile(r"[\x00-\x1f\x7f\\\ufffd]|%(?:2e|2f|5c)", re.IGNORECASE)


class RouteTable:
    """Routes of one configuration by method, the longest path first.

    Parameters
    ----------
    current : configuration.Configuration
    """

    def __init__(self, current: configuration.Configuration) -> None:
        self._by_method: dict[str, list[route.Route]] = {}
        for entry in current.routes.values():
            self._by_method.setdefault(entry.method, []).append(entry)
        for entries in self._by_method.values():
            entries.sort(key=lambda entry: len(entry.path), reverse=True)

    def match(self, method: str, path: str, raw_path: bytes = b"") -> route.Route:
        """Return the route with the longest path that is a prefix by segments.

        Parameters
        ----------
        method : str
        path : str
            Decoded path.
        raw_path : bytes
            Path as received, which the upstream decodes itself.

        Returns
        -------
        route.Route

        Raises
        ------
        error.RefusedError
            When no route matches, or the path is ambiguous: an upstream that
            normalises ``..`` would serve another route than the one checked here.
        """
        # Some servers drop path parameters (after a semicolon) before they normalise.
        segments = [segment.partition(";")[0] for segment in path.split("/")]
        if ".." in segments or "." in segments or "" in segments[1:-1]:
            raise error.RefusedError(
                kind.ErrorKind.REQUEST_MALFORMED,
                "the path holds an empty, '.' or '..' segment",
            )
        if _AMBIGUOUS_RAW.search(raw_path) or _AMBIGUOUS.search(path):
            raise error.RefusedError(
                kind.ErrorKind.REQUEST_MALFORMED,
                "the path holds an encoded slash or dot, a backslash, a fragment, a "
                "control character or broken percent-encoding",
            )
        for entry in self._by_method.get(method, ()):
            prefix = entry.path.rstrip("/")
            if path == entry.path or path == prefix or path.startswith(prefix + "/"):
                return entry
        raise error.RefusedError(
            kind.ErrorKind.ROUTE_UNKNOWN, f"no route for {method} {path}"
        )
