import pytest

from nutmegpost_core import catalog
from nutmegpost_ctl import catalog_changes

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
_DESK = catalog.AccountKeys(
    catalog.Account("desk", None), ("secret-1", "secret-2")
)
_CONTENT = catalog.Content(
    3, (_ROUTE,), (_SERVICE,), (_DESK,), catalog.Limits()
)


def _changes(after, before=_CONTENT):
    return [
        (change.key, change.text)
        for change in catalog_changes.compare(before, after)
    ]


def test_the_same_content_changes_nothing_whatever_its_version():
    assert _changes(_CONTENT._replace(version=9)) == []


@pytest.mark.parametrize(
    ("field", "value", "key", "text"),
    [
        ("name", "see", "name", "look -> see"),
        ("kind", catalog.RequestKind.UNSAFE, "kind", "safe -> unsafe"),
        (
            "shares",
            (
                catalog.TrafficShare("plain", 0.9),
                catalog.TrafficShare("new", 0.1),
            ),
            "trafficSplit",
            "plain 1 -> plain 0.9, new 0.1",
        ),
        ("timeout_s", 2.6, "timeoutMs", "3000 -> 2600"),
        ("target_s", 0.163, "targetLatencyMs", "500 -> 163"),
        ("rank", 0, "priority", "1 -> 0"),
        ("endpoints_max", 1, "maxAttempts", "2 -> 1"),
        ("is_public", True, "public", "False -> True"),
        ("event_gap_max_s", 0.4, "gapAimMs", "800 -> 400"),
    ],
)
def test_a_changed_route_has_the_keys_and_units_of_the_document(
    field, value, key, text
):
    after = _CONTENT._replace(routes=(_ROUTE._replace(**{field: value}),))
    assert _changes(after) == [(f"routes.a.example/look/.{key}", text)]


def test_a_route_at_another_prefix_is_removed_and_added():
    after = _CONTENT._replace(routes=(_ROUTE._replace(prefix="/see/"),))
    assert _changes(after) == [
        ("routes.a.example/look/", "removed"),
        ("routes.a.example/see/", "added"),
    ]


def test_services_are_compared_by_name():
    changed = _SERVICE._replace(connections_max=40, cold_start_s=5.0)
    added = _SERVICE._replace(name="spare")
    after = _CONTENT._replace(services=(added, changed))
    assert _changes(after) == [
        ("services.plain.maxConns", "50 -> 40"),
        ("services.plain.coldStartS", "0 -> 5"),
        ("services.spare", "added"),
    ]
    assert ("services.spare", "removed") in _changes(_CONTENT, after)


def test_limits_are_compared_in_the_units_of_the_document():
    limits = catalog.Limits(body_bytes=5, header_timeout_s=2.5)
    assert _changes(_CONTENT._replace(limits=limits)) == [
        ("limits.maxBodyBytes", "4194304 -> 5"),
        ("limits.headerTimeoutMs", "3000 -> 2500"),
    ]


def test_accounts_are_compared_without_showing_keys():
    # The output of a check may be kept in a log; the keys must not be in it.
    line = catalog.AccountKeys(catalog.Account("line", 2), ("secret-4",))
    desk = catalog.AccountKeys(catalog.Account("desk", 1), ("secret-3",))
    after = _CONTENT._replace(accounts=(desk, line))
    found = catalog_changes.compare(_CONTENT, after)
    assert [(change.key, change.text) for change in found] == [
        ("tenants.desk.priority", "none -> 1"),
        ("tenants.line", "added"),
        ("tenants.desk.apiKeys", "1 added, 2 removed"),
    ]
    assert found[-1].effect == "keys refused from now on: 2"
    assert "secret" not in str(found)
    back = catalog_changes.compare(after, _CONTENT)
    assert ("tenants.line", "removed") in [
        (change.key, change.text) for change in back
    ]
    assert "secret" not in str(back)


def test_no_longer_asking_for_keys_is_one_change():
    # Without tenants every caller is let in; it must not pass unseen.
    found = catalog_changes.compare(_CONTENT, _CONTENT._replace(accounts=None))
    assert [(change.key, change.text) for change in found] == [
        ("tenants", "removed")
    ]
    assert found[0].effect == "requests on non-public routes need no key"
    assert _changes(_CONTENT, _CONTENT._replace(accounts=None)) == [
        ("tenants", "added")
    ]
