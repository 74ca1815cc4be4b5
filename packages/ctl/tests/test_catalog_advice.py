import pytest

from nutmegpost_core import catalog
from nutmegpost_ctl import catalog_advice

_ROUTE = catalog.Route(
    name="look",
    host="a.example",
    prefix="/look/",
    kind=catalog.RequestKind.SAFE,
    shares=(catalog.TrafficShare("plain", 1.0),),
    timeout_s=3.0,
    target_s=0.5,
    rank=1,
    endpoints_max=2,
    is_public=False,
    resumable=False,
    event_gap_max_s=0.8,
)
_SERVICE = catalog.Service("plain", 50)
_CONTENT = catalog.Content(
    version=3,
    routes=(_ROUTE,),
    services=(_SERVICE,),
    accounts=(
        catalog.AccountKeys(catalog.Account("desk", None), ("secret-1",)),
    ),
    limits=catalog.Limits(),
)


def _with_route(**fields):
    return _CONTENT._replace(routes=(_ROUTE._replace(**fields),))


def _with_service(**fields):
    return _CONTENT._replace(services=(_SERVICE._replace(**fields),))


def _with_account(name, *keys):
    added = catalog.AccountKeys(catalog.Account(name, None), keys)
    return _CONTENT._replace(accounts=(*_CONTENT.accounts, added))


def _keys(found):
    return [entry.key for entry in found]


def test_an_ordinary_configuration_gives_no_finding():
    # Guards against findings that operators learn to ignore.
    assert catalog_advice.find_errors(_CONTENT) == []
    assert catalog_advice.advise(_CONTENT) == []
    without_keys = _CONTENT._replace(accounts=None)
    assert catalog_advice.advise(without_keys) == []


def test_an_equal_host_and_prefix_is_an_error_at_the_route_that_loses():
    # The catalog keeps the last of equal routes without notice.
    other = _ROUTE._replace(name="other")
    found = catalog_advice.find_errors(
        _CONTENT._replace(routes=(_ROUTE, other))
    )
    assert _keys(found) == ["$.routes[0]"]
    assert "$.routes[1]" in found[0].text
    built = catalog.Catalog(1, (_ROUTE, other), (), None, catalog.Limits())
    assert built.route("a.example", "/look/").name == "other"


def test_equal_prefixes_of_two_hosts_are_no_error():
    other = _ROUTE._replace(host="b.example")
    content = _CONTENT._replace(routes=(_ROUTE, other))
    assert catalog_advice.find_errors(content) == []


@pytest.mark.parametrize("weight", [0.0, 0.5])
def test_a_share_of_an_absent_service_is_an_error(weight):
    # Requests of such a share would find no endpoint.
    shares = (*_ROUTE.shares, catalog.TrafficShare("absent", weight))
    found = catalog_advice.find_errors(_with_route(shares=shares))
    assert _keys(found) == ["$.routes[0]"]
    assert "absent" in found[0].text


def test_a_service_listed_twice_is_an_error():
    content = _CONTENT._replace(services=(_SERVICE, _SERVICE))
    assert _keys(catalog_advice.find_errors(content)) == ["$.services"]


def test_a_key_of_two_accounts_is_an_error_that_does_not_show_the_key():
    # The calls of one account would be counted as those of the other.
    found = catalog_advice.find_errors(_with_account("line", "k", "secret-1"))
    assert _keys(found) == ["$.tenants[1].apiKeys[1]"]
    assert "$.tenants[0]" in found[0].text
    assert "secret" not in found[0].text


@pytest.mark.parametrize(
    ("content", "key"),
    [
        (_with_route(prefix="look/"), "$.routes[0].prefix"),
        (_with_route(prefix="/look"), "$.routes[0].prefix"),
        (_with_route(prefix=""), "$.routes[0].prefix"),
        (_with_route(host="a.example:80"), "$.routes[0].host"),
        (
            _with_route(
                shares=(
                    catalog.TrafficShare("plain", 1.0),
                    catalog.TrafficShare("plain", 0.0),
                )
            ),
            "$.routes[0].trafficSplit",
        ),
        (_with_route(target_s=3.1), "$.routes[0].targetLatencyMs"),
        (
            _with_route(
                kind=catalog.RequestKind.STREAM,
                resumable=True,
                event_gap_max_s=3.1,
            ),
            "$.routes[0].gapAimMs",
        ),
        (
            _with_route(kind=catalog.RequestKind.UNSAFE),
            "$.routes[0].maxAttempts",
        ),
        (
            _with_route(kind=catalog.RequestKind.STREAM),
            "$.routes[0].maxAttempts",
        ),
        (_with_service(cold_per_s=2.0), "$.services[0].coldPerS"),
        (_with_service(cold_start_s=5.0), "$.services[0].coldStartS"),
        (
            _CONTENT._replace(
                services=(_SERVICE, _SERVICE._replace(name="spare"))
            ),
            "$.services[1]",
        ),
        (_with_account("line"), "$.tenants[1].apiKeys"),
        (_with_account("desk", "secret-2"), "$.tenants"),
        (_CONTENT._replace(accounts=()), "$.tenants"),
        (
            _CONTENT._replace(
                limits=catalog.Limits(header_timeout_s=16.0),
            ),
            "$.limits.headerTimeoutMs",
        ),
    ],
)
def test_each_entry_without_effect_or_sense_is_one_warning(content, key):
    # Guards against a check that is silent, or that repeats itself.
    assert _keys(catalog_advice.advise(content)) == [key]
    assert catalog_advice.find_errors(content) == []


@pytest.mark.parametrize(
    "content",
    [
        _with_route(target_s=3.0),
        _with_route(event_gap_max_s=4.0),
        _with_route(kind=catalog.RequestKind.UNSAFE, endpoints_max=1),
        _with_route(kind=catalog.RequestKind.STREAM, resumable=True),
        _with_service(cold_per_s=2.0, cold_start_s=5.0),
        _CONTENT._replace(limits=catalog.Limits(header_timeout_s=15.0)),
    ],
)
def test_values_at_the_bound_give_no_warning(content):
    assert catalog_advice.advise(content) == []


def test_a_configuration_without_routes_is_a_warning():
    found = catalog_advice.advise(_CONTENT._replace(routes=()))
    assert _keys(found) == ["$.routes", "$.services[0]"]


@pytest.mark.parametrize(
    ("prefix", "path"), [("look/", "/look/"), ("/look", "/look"), ("", "/")]
)
def test_the_catalog_never_matches_what_is_said_never_to_match(prefix, path):
    # Keeps the check in step with the lookup of the gateways.
    route = _ROUTE._replace(prefix=prefix)
    built = catalog.Catalog(1, (route,), (), None, catalog.Limits())
    assert built.route("a.example", path) is None
