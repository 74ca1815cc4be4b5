from nutmegpost_core import nearby

FEW = {"r1": "a", "r2": "a", "r3": "b"}
MANY = {f"r{n}": "abc"[n % 3] for n in range(15)}


def test_callers_are_sent_to_the_routers_of_their_zone():
    names = nearby.nearby_routers(MANY, "b")
    assert len(names) == 5
    assert {MANY[name] for name in names} == {"b"}


def test_all_routers_are_listed_if_a_zone_has_too_few():
    assert nearby.nearby_routers(FEW, "a") == ["r1", "r2", "r3"]
    left = dict(list(MANY.items())[:9])
    assert nearby.nearby_routers(left, "a") == sorted(left)


def test_all_routers_are_listed_for_an_unknown_zone():
    assert nearby.nearby_routers(MANY, "") == sorted(MANY)
    assert nearby.nearby_routers(MANY, "elsewhere") == sorted(MANY)
