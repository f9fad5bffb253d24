"""Look-up of routes, pools and API keys in one version of the route map."""

from __future__ import annotations

from mulberrycleat.routes.model import ClientAccount, Pool, Route, RouteMap

__all__ = ["RouteTable"]


class RouteTable:
    """Index of one :class:`RouteMap`.

    Examples
    --------
    >>> from mulberrycleat.routes.model import RouteKind
    >>> kind = RouteKind.IDEMPOTENT
    >>> routes = tuple(Route(p, "a.example", p, kind, (), 1.0, 1.0) for p in ("/x/", "/x/y/"))
    >>> table = RouteTable(RouteMap(3, routes))
    >>> table.find_route("A.example:80", "/x/y/z").name, table.find_route("b.example", "/x/")
    ('/x/y/', None)
    """

    def __init__(self, route_map: RouteMap) -> None:
        self._map = route_map
        self._routes_by_prefix = {
            (route.host, route.path_prefix): route for route in route_map.routes
        }
        self._pools = {pool.name: pool for pool in route_map.pools}
        self._accounts = {account.name: account for account in route_map.accounts}
        self._accounts_by_key = {
            key: account for account in route_map.accounts for key in account.keys
        }

    @property
    def map(self) -> RouteMap:
        """The indexed map."""
        return self._map

    @property
    def version(self) -> int:
        """Version of the map."""
        return self._map.version

    @property
    def has_accounts(self) -> bool:
        """Whether requests need an API key, except on anonymous routes."""
        return bool(self._accounts)

    @property
    def accounts(self) -> dict[str, ClientAccount]:
        """Client accounts by name."""
        return self._accounts

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches `path`, or None.

        Parameters
        ----------
        host : str
            Host as sent by the caller; the comparison ignores its case and its port.
        path : str
            Path without the query.
        """
        name = host.lower().partition(":")[0]
        end = path.rfind("/")
        while end >= 0:
            found = self._routes_by_prefix.get((name, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def pool(self, name: str) -> Pool | None:
        """Return the pool of this name, or None."""
        return self._pools.get(name)

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account that owns the API key `key`, or None."""
        return self._accounts_by_key.get(key)
