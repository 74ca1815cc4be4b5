import pytest

from nutmegpost_core import ownership

ENDPOINTS = [f"engine-{number}" for number in range(200)]


def test_order_of_the_routers_does_not_matter():
    for endpoint in ENDPOINTS:
        assert ownership.owner(endpoint, ["a", "b", "c"]) == ownership.owner(
            endpoint, ["c", "a", "b"]
        )


def test_only_endpoints_of_the_router_that_left_move():
    before = ownership.Owners(["a", "b", "c", "d"], ENDPOINTS)
    after = ownership.Owners(["a", "b", "c"], ENDPOINTS)
    for endpoint in ENDPOINTS:
        if before.owner_of(endpoint) != "d":
            assert after.owner_of(endpoint) == before.owner_of(endpoint)


def test_every_endpoint_has_one_owner():
    owners = ownership.Owners(["a", "b", "c"], ENDPOINTS)
    owned = [name for router in "abc" for name in owners.owned_by(router)]
    assert sorted(owned) == sorted(ENDPOINTS)


def test_owner_without_routers_raises():
    with pytest.raises(LookupError):
        ownership.owner("engine", [])
    with pytest.raises(LookupError):
        ownership.Owners([], ENDPOINTS).owner_of("engine-1")


def test_first_routers_of_a_key_begin_with_its_owner():
    routers = ["a", "b", "c", "d", "e"]
    for number in range(20):
        key = f"key-{number}"
        first = ownership.first(key, routers, 3)
        assert len(set(first)) == 3
        assert first[0] == ownership.owner(key, routers)
        rest = [router for router in routers if router != first[0]]
        assert ownership.first(key, rest, 2) == first[1:]
    assert ownership.first("key", ["a"], 3) == ["a"]
