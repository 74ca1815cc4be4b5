import random

from nutmegpost_core import member_table
from nutmegpost_core import membership
from nutmegpost_router.gateway import fleet_view

State = membership.State


def _member(number, **fields):
    host = f"10.0.0.{number}"
    return membership.Member(
        f"gw-{number}", number, f"{host}:80", f"{host}:90", "a", **fields
    )


def _recomputed(members, now):
    """Returns the view without anything that was kept from before."""
    copy = membership.Membership(members.local, random.Random(1))
    copy._table = members._table
    copy._now = now
    return fleet_view.FleetView(copy).current._replace(version=0)


def test_view_is_current_after_each_change_and_computed_once_for_each():
    """Guards against a stale view, and against computing it on each tick."""
    rng = random.Random(7)
    members = membership.Membership(_member(1), rng)
    view = fleet_view.FleetView(members)
    now, held_back = 0.0, 0
    for step in range(2_000):
        now += rng.choice([0.0, 0.1, 0.1, 3.0])
        members.tick(now)
        if rng.random() < 0.3:
            known = members.members.get(f"gw-{rng.randrange(2, 9)}")
            state = rng.choice(member_table.STATES)
            fields = {"state": state, "revision": step + 1}
            number = int(known.name[3:]) if known else rng.randrange(2, 9)
            members.add_members([_member(number, **fields)], now)
        current = view.current
        assert current._replace(version=0) == _recomputed(members, now)
        assert view.current is current
        assert sorted(members.alive) == list(current.alive)
        held_back += len(members._table.live) > len(current.alive)
    assert held_back > 100
