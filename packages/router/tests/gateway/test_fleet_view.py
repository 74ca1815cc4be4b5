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
    # Without probes that suspect members, so that a hold-down can end alone.
    timing = membership.Timing(period_s=1e9)
    members = membership.Membership(_member(1), rng, timing)
    view = fleet_view.FleetView(members)
    now, held_back = 0.0, 0
    for step in range(2_000):
        now += rng.choice([0.0, 0.1, 0.1, 3.0])
        members.tick(now)
        if rng.random() < 0.3:
            # A process that leaves does not return, and members flap.
            (state,) = rng.choices(member_table.STATES, [8, 1, 2, 8, 2])
            member = _member(
                rng.randrange(2, 5), state=state, revision=step + 1
            )
            process = member._replace(incarnation=1 + step // 100)
            members.add_members([process], now)
        current = view.current
        assert current._replace(version=0) == _recomputed(members, now)
        assert view.current is current
        assert sorted(members.alive) == list(current.alive)
        held_back += len(members._table.live) > len(current.alive)
    assert held_back > 100
