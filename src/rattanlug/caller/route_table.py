"""Finds the route of a request."""

from rattanlug.errors import error, kind
from rattanlug.model import configuration, route


class RouteTable:
    """Routes of one configuration by method, longest path first.

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

    def match(self, method: str, path: str) -> route.Route:
        """Return the route with the longest path that is a prefix by segments.

        Parameters
        ----------
        method : str
        path : str
            Decoded path.

        Returns
        -------
        route.Route

        Raises
        ------
        error.RefusedError
            When no route matches, or the path could be read in two ways: an upstream
            that normalises ``..`` would serve another route than the one checked here.
        """
        segments = path.split("/")
        if ".." in segments or "." in segments or "" in segments[1:-1]:
            raise error.RefusedError(
                kind.ErrorKind.REQUEST_MALFORMED,
                "the path holds an empty, '.' or '..' segment",
            )
        for entry in self._by_method.get(method, ()):
            prefix = entry.path.rstrip("/")
            if path == entry.path or path == prefix or path.startswith(prefix + "/"):
                return entry
        raise error.RefusedError(
            kind.ErrorKind.ROUTE_UNKNOWN, f"no route for {method} {path}"
        )
