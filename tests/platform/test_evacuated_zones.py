"""Availability zones that the operator evacuates by a key in the store."""

import asyncio

import pytest
import standin

LIMIT_MS = 5000
# Longer than a watch, a poll of peers and the grace after a restored store.
SETTLE_S = 1.0
PEERS_S = 2.5
GRACE_S = 3.0
KEY = "op/evacuate/zone-b"


class _ZonedRunner(standin.Runner):
    """An endpoint in an availability zone."""

    def __init__(self, name, zone, service="plain"):
        super().__init__(name, service, 8)
        self.zone = zone

    def entry(self, **fields):
        return super().entry(zone=self.zone, **fields)


def _fleet(service="plain", zones=("zone-a", "zone-b"), **options):
    runners = [
        _ZonedRunner(f"r{number}", zone, service)
        for number, zone in enumerate(zones)
    ]
    options = {"evacuation_limit_ms": LIMIT_MS} | options
    return standin.Fleet(runners, **options)


def _received(fleet, zone):
    return [
        request
        for runner in fleet.runners.values()
        if runner.zone == zone
        for request in runner.received
    ]


async def _send(fleet, name, count=16, gateway_index=0, path="/look/1"):
    return [
        await fleet.send_request(
            path, f"{name}-{number}", gateway_index=gateway_index
        )
        for number in range(count)
    ]


async def _send_at_once(fleet, name, gateway_index=0):
    """Sends more requests at once than go to the zone of the gateway."""
    sent = await asyncio.gather(
        *(
            _send(fleet, f"{name}-{number}", 4, gateway_index)
            for number in range(4)
        )
    )
    return [response for responses in sent for response in responses]


async def _assert_unused(fleet, zone, name, gateway_index=0):
    before = len(_received(fleet, zone))
    responses = await _send_at_once(fleet, name, gateway_index)
    assert {response.status for response in responses} == {200}
    assert len(_received(fleet, zone)) == before


async def _assert_used(fleet, zone, name):
    before = len(_received(fleet, zone))
    await _send_at_once(fleet, name)
    assert len(_received(fleet, zone)) > before


async def _wait_until_known(fleet, zone, is_evacuated, gateway_index=0):
    table = fleet.gateways[gateway_index].local_state.evacuations
    await fleet.wait_until(lambda: table.is_evacuated(zone) == is_evacuated)


def test_evacuated_zone_gets_nothing_until_its_key_is_removed():
    async def scenario():
        async with _fleet() as fleet:
            await _assert_used(fleet, "zone-b", "before")
            for number in range(3):
                fleet.store.put(KEY, {})
                await asyncio.sleep(SETTLE_S)
                await _assert_unused(fleet, "zone-b", f"gone-{number}")
                fleet.store.remove(KEY)
                await asyncio.sleep(SETTLE_S)
                await _assert_used(fleet, "zone-b", f"back-{number}")

    standin.run_scenario(scenario)


def test_zone_that_was_evacuated_before_the_gateway_started_gets_nothing():
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.put(KEY, {})
            gateway = fleet.start_gateway()
            await fleet.wait_until(lambda: gateway.ready)
            await _assert_unused(fleet, "zone-b", "id", gateway_index=1)

    standin.run_scenario(scenario)


def test_gateway_without_the_store_learns_of_evacuations_from_peers():
    async def scenario():
        async with _fleet(gateways=2) as fleet:
            fleet.start_gateway(platform_address=fleet.store.second_address)
            await fleet.wait_until(lambda: fleet.gateways[2].ready)
            await fleet.wait_until_all_met()
            fleet.store.is_second_down = True
            fleet.store.cut_polls()
            fleet.store.put(KEY, {})
            await asyncio.sleep(PEERS_S)
            await _assert_unused(fleet, "zone-b", "id", gateway_index=2)
            fleet.store.remove(KEY)
            await _wait_until_known(fleet, "zone-b", False, 2)

    standin.run_scenario(scenario)


def test_request_that_waits_for_a_connection_is_not_sent_to_the_zone():
    async def scenario():
        async with _fleet() as fleet:
            client = fleet.gateways[0]._client
            connect = client._connect
            waiting = []

            async def connect_late(address):
                if str(address) == fleet.runners["r1"].address:
                    waiting.append(address)
                    await _wait_until_known(fleet, "zone-b", True)
                return await connect(address)

            client._connect = connect_late
            identities = [f"id-{number}" for number in range(12)]
            requests = [
                asyncio.create_task(fleet.send_request("/issue/1", identity))
                for identity in identities
            ]
            await fleet.wait_until(lambda: waiting)
            fleet.store.put(KEY, {})
            responses = await asyncio.gather(*requests)
            assert {response.status for response in responses} == {200}
            assert not _received(fleet, "zone-b")
            assert sorted(fleet.runners["r0"].executed) == sorted(identities)

    standin.run_scenario(scenario)


def test_stream_that_breaks_off_in_the_zone_goes_on_elsewhere():
    async def scenario():
        async with _fleet("engines") as fleet:

            async def evacuate_and_cut(runner, exchange):
                key = f"op/evacuate/{runner.zone}"
                fleet.store.put(key, {})
                await _wait_until_known(fleet, runner.zone, True)
                await standin.cut_stream_after(2)(runner, exchange)

            for runner in fleet.runners.values():
                runner.behaviors = [evacuate_and_cut]
            # The zone of the second endpoint is evacuated while both events
            # of its attempt are sent: no third attempt may reach the first.
            with pytest.raises(standin.http_client.ExchangeError):
                await fleet.send_stream_request("/draft/1", "id-1")
            for runner in fleet.runners.values():
                assert len(runner.received) == 1

    standin.run_scenario(scenario)


def test_prompt_that_waits_for_a_prefill_is_not_sent_to_the_zone():
    async def scenario():
        async with _fleet("engines") as fleet:
            held = asyncio.Event()

            async def prefill_long(runner, exchange):
                await held.wait()
                await standin.respond(runner, exchange)

            for runner in fleet.runners.values():
                runner.behaviors = [prefill_long]
            prompt = {"Token_Count": "9000,40", "Prompt_Prefix": "aa:8000,b:1"}
            requests = [
                asyncio.create_task(
                    fleet.send_stream_request(
                        "/ask/1", f"id-{number}", **prompt
                    )
                )
                for number in range(6)
            ]
            await fleet.wait_until(
                lambda: any(
                    runner.received for runner in fleet.runners.values()
                )
            )
            (zone,) = {
                runner.zone
                for runner in fleet.runners.values()
                if runner.received
            }
            before = len(_received(fleet, zone))
            fleet.store.put(f"op/evacuate/{zone}", {})
            await _wait_until_known(fleet, zone, True)
            begun = len(_received(fleet, zone))
            await asyncio.sleep(SETTLE_S)
            held.set()
            await asyncio.gather(*requests)
            assert before == begun == len(_received(fleet, zone))

    standin.run_scenario(scenario)


def test_caches_of_the_zone_are_fetched_from_for_a_part_of_the_limit():
    async def scenario():
        async with _fleet("engines", evacuation_limit_ms=2000) as fleet:
            holders = {}

            async def send(part, name):
                """Returns the endpoint of a prompt, and its request."""
                await fleet.send_stream_request(
                    "/ask/1",
                    f"{part}-{name}",
                    Token_Count="3010,40",
                    Prompt_Prefix=f"{part}:3000,own-{part}-{name}:10",
                )
                return next(
                    (runner, request)
                    for runner in fleet.runners.values()
                    for request in runner.received
                    if request.headers["attempt-id"] == f"{part}-{name}"
                )

            for number in range(20):
                runner, _ = await send(f"p{number}", "first")
                holders.setdefault(runner, []).append(f"p{number}")
            holder, (early, late, *_) = max(
                holders.items(), key=lambda item: len(item[1])
            )
            fleet.store.put(f"op/evacuate/{holder.zone}", {})
            await _wait_until_known(fleet, holder.zone, True)
            runner, request = await send(early, "early")
            assert runner is not holder
            assert request.headers["kv-fetch"] == holder.address
            await asyncio.sleep(1.7)
            runner, request = await send(late, "late")
            assert runner is not holder
            assert "kv-fetch" not in request.headers

    standin.run_scenario(scenario)


def test_requests_are_refused_at_once_while_all_zones_are_evacuated():
    async def scenario():
        async with _fleet() as fleet:
            for zone in ("zone-a", "zone-b"):
                fleet.store.put(f"op/evacuate/{zone}", {})
                await _wait_until_known(fleet, zone, True)
            async with asyncio.timeout(2.0):
                responses = await _send(fleet, "id")
            assert {response.status for response in responses} == {503}
            waits = [float(r.headers["retry-after"]) for r in responses]
            assert min(waits) >= 1 and max(waits) <= 2
            assert max(waits) - min(waits) > 0.1
            for zone in ("zone-a", "zone-b"):
                assert not _received(fleet, zone)

    standin.run_scenario(scenario)


@pytest.mark.parametrize("is_written_again", [False, True])
def test_key_that_a_restored_store_lacks_is_retained(is_written_again):
    async def scenario():
        async with _fleet() as fleet:
            copy = fleet.store.copy()
            fleet.store.put(KEY, {})
            await _wait_until_known(fleet, "zone-b", True)
            fleet.store.restore(copy)
            fleet.store.cut_polls()
            await asyncio.sleep(GRACE_S - 1.0)
            await _assert_unused(fleet, "zone-b", "grace")
            if is_written_again:
                fleet.store.put(KEY, {})
            await asyncio.sleep(GRACE_S)
            if is_written_again:
                await _assert_unused(fleet, "zone-b", "again")
            else:
                await _assert_used(fleet, "zone-b", "over")

    standin.run_scenario(scenario)


@pytest.mark.parametrize("key", ["op/odd", "op/evacuate/", "op/evacuate/a/b"])
def test_foreign_keys_hide_neither_configurations_nor_evacuations(key):
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.put(key, b"\xff\x00")
            fleet.store.put("op/config", standin.configuration(2))
            fleet.store.put(key, {"version": 9})
            await fleet.wait_until(
                lambda: fleet.gateways[0].local_state.catalog.version == 2
            )
            fleet.store.put(KEY, {})
            await _wait_until_known(fleet, "zone-b", True)
            assert list(fleet.gateways[0].local_state.evacuations.zones) == [
                "zone-b"
            ]

    standin.run_scenario(scenario)


def test_evacuation_whose_answer_is_lost_is_noticed():
    async def scenario():
        async with _fleet() as fleet:
            watch = fleet.store._watch
            lost = []

            async def lose_first(values):
                answer = await watch(values)
                if values["prefix"] == "op/" and not lost:
                    lost.append(values)
                    await asyncio.sleep(standin.TIMEOUT_S)
                return answer

            fleet.store._watch = lose_first
            fleet.store.put("op/config", standin.configuration(2))
            await fleet.wait_until(
                lambda: fleet.gateways[0].local_state.catalog.version == 2
            )
            await asyncio.sleep(0.1)
            fleet.store.put(KEY, {})
            await fleet.wait_until(lambda: lost)
            async with asyncio.timeout(4.0):
                await _wait_until_known(fleet, "zone-b", True)

    standin.run_scenario(scenario)


def test_evacuation_among_changes_that_are_too_long_to_read_is_known():
    async def scenario():
        async with _fleet() as fleet:
            fleet.store.is_down = True
            fleet.store.cut_polls()
            await asyncio.sleep(0.5)
            routes = [
                standin.route(f"route-{number}", "safe", "plain")
                for number in range(1_000)
            ]
            for version in range(2, 6):
                config = standin.configuration(version)
                config["routes"] += routes
                fleet.store.put("op/config", config)
                fleet.store.put(KEY, {})
            ranges = []
            list_range = fleet.store._list_range

            def record(prefix):
                ranges.append(prefix)
                return list_range(prefix)

            fleet.store._list_range = record
            fleet.store.is_down = False
            async with asyncio.timeout(4.0):
                await _wait_until_known(fleet, "zone-b", True)
            assert fleet.gateways[0].local_state.catalog.version == 5
            assert "op/" in ranges

    standin.run_scenario(scenario)


def test_evacuations_cost_no_poll_of_the_store_beside_the_others():
    async def scenario():
        prefixes = []
        async with _fleet() as fleet:
            watch = fleet.store._watch

            async def record(values):
                prefixes.append(values["prefix"])
                return await watch(values)

            fleet.store._watch = record
            fleet.store.put(KEY, {})
            await _wait_until_known(fleet, "zone-b", True)
            await asyncio.sleep(SETTLE_S)
            assert set(prefixes) == {"op/", "servers/"}
            assert prefixes.count("op/") <= 2

    standin.run_scenario(scenario)


def test_without_the_limit_zones_are_not_evacuated():
    async def scenario():
        async with _fleet(evacuation_limit_ms=0) as fleet:
            fleet.store.put(KEY, {})
            await asyncio.sleep(SETTLE_S)
            await _assert_used(fleet, "zone-b", "id")

    standin.run_scenario(scenario)
