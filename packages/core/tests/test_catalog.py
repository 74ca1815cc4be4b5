import collections

from nutmegpost_core import catalog


def _route(name, prefix, host="a.example", shares=(("s", 1.0),), **fields):
    values = {
        "kind": catalog.RequestKind.SAFE,
        "timeout_s": 1.0,
        "target_s": 0.1,
        "rank": 1,
        "endpoints_max": 2,
        "is_public": False,
        "resumable": False,
        "event_gap_max_s": 0.8,
    }
    values.update(fields)
    traffic = tuple(catalog.TrafficShare(*share) for share in shares)
    return catalog.Route(name, host, prefix, shares=traffic, **values)


def _catalog(*routes, accounts=None):
    return catalog.Catalog(1, routes, [], accounts, catalog.Limits())


def test_the_longest_prefix_of_the_host_wins():
    routes = _catalog(_route("short", "/a/"), _route("long", "/a/b/"))
    assert routes.route("a.example", "/a/b/c?x=/q/").name == "long"
    assert routes.route("a.example", "/a/bc").name == "short"
    assert routes.route("A.EXAMPLE:80", "/a/").name == "short"


def test_a_prefix_ends_at_a_slash():
    routes = _catalog(_route("r", "/a/"))
    assert routes.route("a.example", "/a") is None
    assert routes.route("a.example", "/ab/") is None
    assert routes.route("b.example", "/a/") is None
    assert routes.route("a.example", "no-slash") is None
    assert routes.route("a.example", "") is None


def test_root_prefix_matches_paths_without_another_route():
    routes = _catalog(_route("root", "/"), _route("r", "/a/"))
    assert routes.route("a.example", "/b").name == "root"


def test_a_stream_is_repeatable_only_when_it_may_be_resumed():
    kind = catalog.RequestKind.STREAM
    assert not _route("r", "/", kind=kind).repeatable
    assert _route("r", "/", kind=kind, resumable=True).repeatable
    unsafe = _route("r", "/", kind=catalog.RequestKind.UNSAFE, resumable=True)
    assert not unsafe.repeatable


def test_services_are_weighted_and_choice_is_deterministic():
    route = _route("r", "/", shares=(("a", 90.0), ("b", 10.0)))
    chosen = [catalog.choose_service(route, f"id-{n}") for n in range(2000)]
    assert chosen == [
        catalog.choose_service(route, f"id-{n}") for n in range(2000)
    ]
    share = collections.Counter(chosen)["b"] / len(chosen)
    assert 0.07 < share < 0.13


def test_service_with_weight_zero_gets_no_requests():
    route = _route("r", "/", shares=(("a", 0.0), ("b", 1.0)))
    assert {catalog.choose_service(route, str(n)) for n in range(99)} == {"b"}


def test_accounts_are_found_by_key():
    account = catalog.Account("acme", 1)
    routes = _catalog(accounts={"key": account})
    assert routes.needs_key
    assert routes.account("key") == account
    assert routes.account("other") is None
    assert not _catalog().needs_key
