"""Look-up of routes and keys."""

from __future__ import annotations

from mulberrycleat.routes import (
    Pool,
    PoolShare,
    PrepaidAccount,
    Route,
    RouteKind,
    RouteMap,
    RouteTable,
)
from mulberrycleat.testing import fixture


def route(host, prefix, kind=RouteKind.IDEMPOTENT, **how):
    return Route(prefix, host, prefix, kind, (PoolShare("huts", 1.0),), 1.0, 0.3, **how)


@fixture
def table():
    routes = (route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/"))
    accounts = (PrepaidAccount("rangers", ("k1", "k2"), 1, 500),)
    return RouteTable(RouteMap(3, routes, (Pool("huts", 10),), accounts=accounts))


def test_the_longest_prefix_decides(table):
    paths = ("/x/1", "/x/y/1", "/x/y", "/x/yy/1", "/x/")
    found = [table.find_route("a.example", path).path_prefix for path in paths]
    assert found == ["/x/", "/x/y/", "/x/", "/x/", "/x/"]


def test_what_no_prefix_begins_has_no_route(table):
    assert table.find_route("a.example", "/z/1") is None
    assert table.find_route("a.example", "/xy") is None
    assert table.find_route("c.example", "/x/1") is None
    assert table.find_route("b.example", "/anything").path_prefix == "/"


def test_the_port_and_the_case_of_a_host_do_not_matter(table):
    assert table.find_route("A.Example:8443", "/x/1") is not None


def test_keys_lead_to_their_account(table):
    assert table.account_of("k2").name == "rangers"
    assert table.account_of("k3") is None


def test_only_streams_that_may_go_on_elsewhere_are_repeatable():
    kinds = [
        route("a", "/", RouteKind.STREAM, resumable=True),
        route("a", "/", RouteKind.STREAM),
        route("a", "/", RouteKind.NON_IDEMPOTENT),
        route("a", "/", RouteKind.IDEMPOTENT),
    ]
    assert [kind.repeatable for kind in kinds] == [True, False, False, True]
