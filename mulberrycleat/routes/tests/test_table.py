"""Look-up of routes and API keys."""

from __future__ import annotations

from mulberrycleat.routes import (
    ClientAccount,
    Pool,
    PoolShare,
    Route,
    RouteKind,
    RouteMap,
    RouteTable,
)
from mulberrycleat.testing import fixture


def route(host, prefix, kind=RouteKind.IDEMPOTENT, **options):
    return Route(prefix, host, prefix, kind, (PoolShare("huts", 1.0),), 1.0, 0.3, **options)


@fixture
def table():
    routes = (route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/"))
    accounts = (ClientAccount("rangers", ("k1", "k2"), 1, 500),)
    return RouteTable(RouteMap(3, routes, (Pool("huts", 10),), accounts=accounts))


def test_longest_matching_prefix_wins(table):
    paths = ("/x/1", "/x/y/1", "/x/y", "/x/yy/1", "/x/")
    found = [table.find_route("a.example", path).path_prefix for path in paths]
    assert found == ["/x/", "/x/y/", "/x/", "/x/", "/x/"]


def test_path_without_matching_prefix_has_no_route(table):
    assert table.find_route("a.example", "/z/1") is None
    assert table.find_route("a.example", "/xy") is None
    assert table.find_route("c.example", "/x/1") is None
    assert table.find_route("b.example", "/anything").path_prefix == "/"


def test_host_match_ignores_port_and_case(table):
    assert table.find_route("A.Example:8443", "/x/1") is not None


def test_api_key_finds_its_account(table):
    assert table.find_account("k2").name == "rangers"
    assert table.find_account("k3") is None


def test_only_resumable_streams_and_idempotent_routes_are_retryable():
    kinds = [
        route("a", "/", RouteKind.STREAM, resumable=True),
        route("a", "/", RouteKind.STREAM),
        route("a", "/", RouteKind.NON_IDEMPOTENT),
        route("a", "/", RouteKind.IDEMPOTENT),
    ]
    assert [kind.retryable for kind in kinds] == [True, False, False, True]
