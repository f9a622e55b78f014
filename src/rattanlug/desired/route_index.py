"""Index of the routes by host and path prefix."""

from collections.abc import Iterable

from rattanlug.desired import route


class RouteIndex:
    """Maps requests to routes by host and longest path prefix.

    Parameters
    ----------
    routes : iterable of route.Route
    """

    def __init__(self, routes: Iterable[route.Route]) -> None:
        self._hosts: dict[str, list[route.Route]] = {}
        for each in routes:
            self._hosts.setdefault(each.host.lower(), []).append(each)
        for host_routes in self._hosts.values():
            host_routes.sort(key=lambda each: len(each.prefix), reverse=True)

    def find(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path as received, without the query.
        """
        name = host.partition(":")[0].lower()
        for each in self._hosts.get(name, ()):
            if path.startswith(each.prefix):
                return each
        return None
