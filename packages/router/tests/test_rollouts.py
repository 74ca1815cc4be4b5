"""Tests of the rollout task with simulated engines and two owners."""

import asyncio
import json

import pytest

from nutmegpost_core import configuration
from nutmegpost_core import rollout
from nutmegpost_core import vms
from nutmegpost_router import http_client
from nutmegpost_router import rollouts

ENGINES = ["e1", "e2", "e3", "e4"]
OLD = rollout.Target("v1", "", "both")


def _published(version=1, label="v1", limit=1):
    content = {
        "version": version,
        "load_bound": 1.25,
        "classes": [
            {"name": "quick", "rank": 1, "first_token_ms": 500, "worth": 5}
        ],
        "accounts": [],
        "models": [
            {
                "name": "panel",
                "version": label,
                "slots": 4,
                "rollout": {"max_unavailable": limit, "burn_limit": 2},
            }
        ],
        "services": [],
    }
    return configuration.parse(json.dumps(content).encode(), "test")


class Engine:
    """An engine that finishes loading when a test calls `load`."""

    def __init__(self, fenced=True):
        self.target = OLD
        self.fence = (0, 0)
        self.loading = None
        self.orders = []
        self.fenced = fenced
        self.is_idle = True

    def order(self, body):
        fence = tuple(body["fence"])
        if self.fenced and fence < self.fence:
            return http_client.Response(409, {}, b"{}")
        self.fence = fence
        target = rollout.Target(body["version"], body["adapter"], body["role"])
        self.orders.append((fence, target))
        if target != self.target or self.loading:
            self.loading = target
        return http_client.Response(202, {}, b"{}")

    def load(self):
        if self.loading:
            self.target, self.loading = self.loading, None

    def report(self):
        state = "loading" if self.loading else "ready"
        return rollout.Report(state, self.target, self.fence, "", self.is_idle)


class Fleet:
    """Two routers, each of which owns two engines."""

    def __init__(self, fenced=True):
        self.engines = {name: Engine(fenced) for name in ENGINES}
        self.now = 0.0
        self.routers = {name: Router(self, name) for name in "ab"}

    def owner(self, engine):
        return "a" if engine in ("e1", "e2") else "b"

    @property
    def out_of_service(self):
        out_of_service = {
            name for name, engine in self.engines.items() if engine.loading
        }
        for router in self.routers.values():
            out_of_service |= router.drained
        return out_of_service

    def publish(self, *args, **options):
        for router in self.routers.values():
            router.published = _published(*args, **options)

    async def run(self, seconds, load=True):
        for _ in range(int(seconds / rollouts.TICK_S)):
            self.now += rollouts.TICK_S
            for router in self.routers.values():
                if not router.paused:
                    await router.rollouts.tick()
            assert len(self.out_of_service) <= 1
            for engine in self.engines.values():
                if load:
                    engine.load()

    @property
    def labels(self):
        return {engine.target.version for engine in self.engines.values()}


class Router:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.published = _published()
        self.drained = set()
        self.burn = 0.0
        self.is_current = True
        self.paused = False
        self.partitioned = False
        self.broadcasts = 0
        self.rollouts = rollouts.Rollouts(
            rollouts.Ports(
                client=self,
                published=lambda: self.published,
                engines=lambda _: ENGINES,
                owned=self._owned,
                owner=fleet.owner,
                address=lambda name: vms.Address(name, 1),
                report=lambda name: fleet.engines[name].report(),
                drain=self._drain,
                burn=lambda _: self.burn,
                may_begin=lambda: True,
                is_current=self._is_current,
                broadcast=self._broadcast,
                now=lambda: fleet.now,
            )
        )

    def _owned(self):
        return [e for e in ENGINES if self.fleet.owner(e) == self.name]

    def _drain(self, engine, draining):
        (self.drained.add if draining else self.drained.discard)(engine)

    async def _is_current(self):
        return self.is_current

    def _broadcast(self, message):
        self.broadcasts += 1
        other = self.fleet.routers["b" if self.name == "a" else "a"]
        if not (self.partitioned or other.partitioned or other.paused):
            other.rollouts.receive_statuses(self.name, message)

    async def request(
        self, address, method, path, headers, body, timeout_s, fresh
    ):
        assert (method, path, fresh) == ("POST", "/v1/orders", True)
        return self.fleet.engines[address.host].order(json.loads(body))


def test_change_reaches_all_engines_one_by_one():
    fleet = Fleet()
    asyncio.run(fleet.run(5))
    fleet.publish(2, "v2")
    asyncio.run(fleet.run(60))
    assert fleet.labels == {"v2"}
    assert not fleet.out_of_service
    assert [len(engine.orders) for engine in fleet.engines.values()] == [1] * 4


def test_no_status_is_broadcast_without_a_change():
    fleet = Fleet()
    asyncio.run(fleet.run(15))
    broadcasts = [router.broadcasts for router in fleet.routers.values()]
    asyncio.run(fleet.run(60))
    assert [
        router.broadcasts for router in fleet.routers.values()
    ] == broadcasts


def test_second_edit_replaces_the_first():
    fleet = Fleet()
    fleet.publish(2, "v2")
    asyncio.run(fleet.run(2, load=False))
    fleet.publish(3, "v3")
    asyncio.run(fleet.run(80))
    assert fleet.labels == {"v3"}
    labels = {
        target.version
        for engine in fleet.engines.values()
        for _, target in engine.orders[1:]
    }
    assert labels <= {"v3"}


def test_rollout_is_on_hold_during_a_partition():
    fleet = Fleet()
    fleet.publish(2, "v2")
    asyncio.run(fleet.run(4))
    fleet.routers["b"].partitioned = True
    asyncio.run(fleet.run(20))
    labels = fleet.labels
    asyncio.run(fleet.run(60))
    assert fleet.labels == labels == {"v1", "v2"}
    reasons = {**fleet.routers["a"].rollouts.hold_reasons()}
    reasons |= fleet.routers["b"].rollouts.hold_reasons()
    assert "no recent status" in reasons["panel"]
    fleet.routers["b"].partitioned = False
    asyncio.run(fleet.run(60))
    assert fleet.labels == {"v2"}


def test_owner_waits_for_another_owner_with_an_older_configuration():
    fleet = Fleet()
    fleet.routers["a"].published = _published(2, "v2")
    asyncio.run(fleet.run(60))
    assert fleet.labels == {"v1"}
    fleet.publish(2, "v2")
    asyncio.run(fleet.run(60))
    assert fleet.labels == {"v2"}


def test_resumed_owner_sends_no_order_with_an_outdated_view():
    fleet = Fleet(fenced=False)
    fleet.publish(2, "v2")
    first = rollout.engine_sequence("panel", ENGINES)[0]
    router = fleet.routers[fleet.owner(first)]
    fleet.engines[first].is_idle = False
    asyncio.run(fleet.run(3))
    assert router.drained == {first}
    router.paused = True
    asyncio.run(fleet.run(30))
    router.paused = False
    router.is_current = False
    fleet.engines[first].is_idle = True
    asyncio.run(fleet.run(30))
    assert not fleet.engines[first].orders
    fleet.publish(3, "v3")
    router.is_current = True
    asyncio.run(fleet.run(80))
    assert fleet.labels == {"v3"}
    assert fleet.engines[first].orders[0][1].version != "v2"


def test_outdated_order_is_rejected_by_a_fenced_engine():
    fleet = Fleet()
    fleet.publish(3, "v3")
    asyncio.run(fleet.run(60))
    stale = rollout.Order("e1", (2, 0), OLD)
    asyncio.run(fleet.routers["b"].rollouts._send_order(stale, 3))
    assert fleet.labels == {"v3"}


def test_outdated_order_to_an_unfenced_engine_is_corrected():
    fleet = Fleet(fenced=False)
    fleet.publish(3, "v3")
    asyncio.run(fleet.run(60))
    fleet.engines["e1"].order(
        {"fence": [2, 0], "version": "v2", "adapter": "", "role": "both"}
    )
    fleet.engines["e1"].load()
    asyncio.run(fleet.run(30))
    assert fleet.labels == {"v3"}


def test_high_burn_rate_holds_the_rollout():
    fleet = Fleet()
    for router in fleet.routers.values():
        router.burn = 3.0
    fleet.publish(2, "v2")
    asyncio.run(fleet.run(60))
    assert fleet.labels == {"v1"}
    for router in fleet.routers.values():
        router.burn = 0.0
    asyncio.run(fleet.run(100))
    assert fleet.labels == {"v2"}


def test_order_is_not_sent_after_the_configuration_changed():
    fleet = Fleet()
    router = fleet.routers["a"]
    order = rollout.Order("e1", (2, 0), OLD)
    router.published = _published(3, "v3")
    asyncio.run(router.rollouts._send_order(order, 2))
    assert not fleet.engines["e1"].orders


def test_order_is_not_sent_to_an_engine_of_another_owner():
    fleet = Fleet()
    order = rollout.Order("e3", (1, 0), OLD)
    asyncio.run(fleet.routers["a"].rollouts._send_order(order, 1))
    assert not fleet.engines["e3"].orders


@pytest.mark.parametrize("failure", ["status", "connection"])
def test_failed_order_is_sent_again(failure):
    fleet = Fleet()
    fleet.publish(2, "v2")
    first = rollout.engine_sequence("panel", ENGINES)[0]
    engine = fleet.engines[first]
    accept = engine.order
    failures = [failure]

    def fail(body):
        if not failures:
            return accept(body)
        if failures.pop() == "status":
            return http_client.Response(500, {}, b"")
        raise http_client.ConnectError("down", True)

    engine.order = fail
    asyncio.run(fleet.run(80))
    assert fleet.labels == {"v2"}
