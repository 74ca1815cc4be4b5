"""End-to-end tests of gateways with the platform adapter."""

import asyncio
import json

import cbor2
import pytest
import standin

from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import http_server

COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6)
)


def _plain(*names):
    return [standin.Runner(name, "plain") for name in names]


def _engines(*names):
    return [standin.Runner(name, "engines", 8) for name in names]


def test_response_to_a_safe_request_is_relayed():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            response = await fleet.send_request("/look/1?x=2", "id-1")
            assert response.status == 200
            assert response.body == b"answer to /look/1?x=2"
            assert response.headers["attempt-id"] == "id-1"
            assert response.headers["server-seal"] == "seal-of-p1"
            request = fleet.runners["p1"].received[0]
            assert request.headers["expect-instance"] == "p1"
            assert request.headers["tenant"] == "acme"
            assert "authorization" not in request.headers
            assert int(request.headers["deadline-ms"]) <= 3000

    standin.run_scenario(scenario)


def test_reserved_headers_of_callers_are_removed():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            await fleet.send_request(
                "/look/1",
                "id-1",
                Tenant="other",
                Hold="1",
                Pin_Ms="5",
                Kv_From="1.2.3.4:5/6",
                Kv_Backup="1.2.3.4:5",
                Expect_Instance="p9",
                Keep_Alive="timeout=9",
                X_Own="kept",
            )
            headers = fleet.runners["p1"].received[0].headers
            assert headers["tenant"] == "acme"
            assert headers["expect-instance"] == "p1"
            assert headers["x-own"] == "kept"
            dropped = {"hold", "pin-ms", "kv-from", "kv-backup", "keep-alive"}
            assert not dropped & set(headers)

    standin.run_scenario(scenario)


def test_stream_is_relayed_unchanged():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            response = await fleet.send_stream_request("/draft/1", "id-1")
            assert response.status == 200
            assert response.body == COMPLETE_STREAM
            assert response.headers["content-type"] == "text/event-stream"

    standin.run_scenario(scenario)


def test_route_with_a_shorter_latency_target_is_more_urgent():
    async def scenario():
        config = standin.configuration(1)
        for route in config["routes"]:
            if route["name"] == "draft":
                route["targetLatencyMs"] = 2500
        runners = _engines("e1")
        async with standin.Fleet(runners, config=config) as fleet:
            await fleet.send_stream_request("/draft/1", "id-1")
            await fleet.send_stream_request("/ask/1", "id-2")
            levels = [
                int(request.headers["request-urgency"])
                for request in fleet.runners["e1"].received
            ]
            assert levels[1] < levels[0]

    standin.run_scenario(scenario)


def test_resumable_stream_continues_at_another_endpoint_without_a_gap():
    async def scenario():
        async with standin.Fleet(_engines("e1", "e2")) as fleet:
            order = []

            async def cut_the_first(runner, exchange):
                order.append(runner.name)
                cut = standin.cut_stream_after(2)
                behavior = cut if len(order) == 1 else standin.respond
                await behavior(runner, exchange)

            for runner in fleet.runners.values():
                runner.behaviors = [cut_the_first]
            response = await fleet.send_stream_request("/draft/1", "id-1")
            assert response.body == COMPLETE_STREAM
            assert response.headers["server-seal"] == f"seal-of-{order[0]}"
            second = fleet.runners[order[1]].received[0]
            assert second.headers["last-event-id"] == "2"

    standin.run_scenario(scenario)


def test_interrupted_stream_that_is_not_resumable_is_aborted():
    async def scenario():
        async with standin.Fleet(_engines("e1", "e2")) as fleet:
            for runner in fleet.runners.values():
                runner.behaviors = [standin.cut_stream_after(2)]
            # A reset can overtake the events before it; then no event was
            # relayed and the failure can still be reported by a status.
            try:
                response = await fleet.send_stream_request("/ask/1", "id-1")
            except standin.http_client.ExchangeError:
                pass
            else:
                assert response.status == 502
            executed = [
                run for r in fleet.runners.values() for run in r.executed
            ]
            assert executed == ["id-1"]

    standin.run_scenario(scenario)


def test_safe_request_is_retried_at_another_endpoint():
    async def scenario():
        for behavior in (
            standin.drop_connection,
            standin.fail_with(500),
            standin.respond_with_foreign_id,
            standin.respond_unsigned,
            standin.reject,
        ):
            async with standin.Fleet(_plain("p1", "p2")) as fleet:
                once = [behavior]

                async def first_fails(runner, exchange, once=once):
                    behavior = once.pop() if once else standin.respond
                    await behavior(runner, exchange)

                for runner in fleet.runners.values():
                    runner.behaviors = [first_fails]
                response = await fleet.send_request("/look/1", "id-1")
                assert response.status == 200, behavior
                assert response.body == b"answer to /look/1"

    standin.run_scenario(scenario)


def test_unsafe_request_that_may_have_run_is_not_retried():
    async def scenario():
        for behavior in (
            standin.drop_connection,
            standin.respond_with_foreign_id,
            standin.respond_unsigned,
        ):
            async with standin.Fleet(_plain("p1", "p2")) as fleet:
                for runner in fleet.runners.values():
                    runner.behaviors = [behavior]
                response = await fleet.send_request(
                    "/issue/1", "id-1", "POST", b"{}"
                )
                # Not 503 or 429, which promise that the request has not run.
                assert response.status == 502, behavior
                assert "server-seal" not in response.headers
                executed = [
                    run for r in fleet.runners.values() for run in r.executed
                ]
                assert executed == ["id-1"]

    standin.run_scenario(scenario)


def test_rejected_unsafe_request_is_retried_at_another_endpoint():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            once = [standin.reject]

            async def first_rejected(runner, exchange):
                behavior = once.pop() if once else standin.respond
                await behavior(runner, exchange)

            for runner in fleet.runners.values():
                runner.behaviors = [first_rejected]
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", b"{}"
            )
            assert response.status == 200
            executed = [
                run for r in fleet.runners.values() for run in r.executed
            ]
            assert executed == ["id-1"]

    standin.run_scenario(scenario)


def test_error_response_of_an_endpoint_is_relayed_unchanged():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.runners["p1"].behaviors = [standin.fail_with(500)]
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", b"{}"
            )
            assert (response.status, response.body) == (500, b"failed")
            assert response.headers["server-seal"] == "seal-of-p1"

    standin.run_scenario(scenario)


def test_request_rejected_by_every_endpoint_gets_a_retry_after_header():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            for runner in fleet.runners.values():
                runner.behaviors = [standin.reject] * 5
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", b"{}"
            )
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert not any(r.executed for r in fleet.runners.values())

    standin.run_scenario(scenario)


def test_missing_response_ends_the_request_at_the_route_timeout():
    async def scenario():
        config = standin.configuration(1)
        config["routes"][1]["timeoutMs"] = 200
        async with standin.Fleet(_plain("p1"), config=config) as fleet:
            fleet.runners["p1"].behaviors = [standin.hang]
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", b"{}"
            )
            assert response.status == 504
            await fleet.wait_until(
                lambda: fleet.runners["p1"].cancelled == ["id-1"]
            )

    standin.run_scenario(scenario)


def test_request_of_a_disconnected_caller_is_cancelled_at_the_endpoint():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            fleet.runners["e1"].behaviors = [standin.hang]
            pending = asyncio.create_task(
                fleet.send_stream_request("/draft/1", "id-1")
            )
            await fleet.wait_until(lambda: fleet.runners["e1"].executed)
            pending.cancel()
            await fleet.wait_until(
                lambda: fleet.runners["e1"].cancelled == ["id-1"]
            )

    standin.run_scenario(scenario)


def test_stream_of_a_stalled_caller_is_cancelled_when_it_disconnects():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:

            async def flood(runner, exchange):
                request = exchange.request
                runner.executed.append(request.headers["attempt-id"])
                exchange.start(200, runner.response_fields(request))
                number = 0
                while not exchange.disconnected.is_set():
                    number += 1
                    exchange.write(b"id: %d\ndata: " % number)
                    exchange.write(b"x" * 100_000 + b"\n\n")
                    await exchange.drain()
                    sent.append(number)
                    await asyncio.sleep(0)

            sent = []
            fleet.runners["e1"].behaviors = [flood]
            address = fleet.address("public_address")
            _, writer = await asyncio.open_connection(*address)
            writer.write(
                b"POST /ask/1 HTTP/1.1\r\nHost: %b\r\nAttempt-Id: id-1\r\n"
                b"Authorization: Bearer %b\r\nModel: m\r\n"
                b"Token-Count: 60,40\r\nPrompt-Prefix: aa:20,cc:40\r\n"
                b"Content-Length: 2\r\n\r\n{}"
                % (standin.HOST.encode(), standin.API_KEY.encode())
            )
            # All buffers are full once the endpoint can no longer write.
            await fleet.wait_until(lambda: sent)
            previous_count = 0
            while len(sent) > previous_count:
                previous_count = len(sent)
                await asyncio.sleep(0.2)
            writer.transport.abort()
            cancelled = fleet.runners["e1"].cancelled
            await fleet.wait_until(lambda: cancelled == ["id-1"])

    standin.run_scenario(scenario)


def test_invalid_requests_are_refused_with_the_matching_status():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            unknown = await fleet.send_request("/none/1", "id-1")
            assert unknown.status == 404
            no_key = await fleet.send_request(
                "/look/1", "id-2", Authorization=""
            )
            assert no_key.status == 401
            wrong = await fleet.send_request(
                "/look/1", "id-3", Authorization="Bearer x"
            )
            assert wrong.status == 401
            no_id = await fleet.send_request("/look/1", "")
            assert no_id.status == 400
            bad = await fleet.send_request(
                "/look/1", "id-4", Deadline_Ms="soon"
            )
            assert bad.status == 400
            large = await fleet.send_request(
                "/look/1", "id-5", "POST", b"x" * 20_001
            )
            assert large.status == 413
            assert not fleet.runners["p1"].received

    standin.run_scenario(scenario)


def test_gateway_without_a_configuration_answers_503_and_is_not_ready():
    async def scenario():
        async with standin.Fleet(_plain("p1"), config={}) as fleet:
            await fleet.wait_until(lambda: fleet.store.request_count > 1)
            response = await fleet.send_request("/look/1", "id-1")
            assert response.status == 503
            ready = await fleet.client.request(
                fleet.address("readiness_address"), "GET", "/api/ready", {}
            )
            assert ready.status == 503
            fleet.store.put("op/config", standin.configuration(1))
            await fleet.wait_until(lambda: fleet.gateways[0].ready)
            assert (await fleet.send_request("/look/1", "id-2")).status == 200

    standin.run_scenario(scenario)


def test_new_configuration_takes_effect_and_an_older_one_does_not():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            newer = standin.configuration(5)
            newer["tenants"][0]["apiKeys"] = ["other"]
            fleet.store.put("op/config", newer)
            status = 0
            async with asyncio.timeout(standin.TIMEOUT_S):
                while status != 401:
                    status = (
                        await fleet.send_request("/look/1", "id-1")
                    ).status
            fleet.store.put("op/config", standin.configuration(4))
            fleet.store.put("op/config", b"{no json")
            await asyncio.sleep(0.2)
            assert (await fleet.send_request("/look/1", "id-2")).status == 401
            other = await fleet.send_request(
                "/look/1", "x", Authorization="Bearer other"
            )
            assert other.status == 200

    standin.run_scenario(scenario)


def test_draining_endpoint_gets_no_new_request():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            runner = fleet.runners["p1"]
            fleet.store.put("servers/p1", runner.entry(state="draining"))
            roster = fleet.gateways[0].local_state.roster
            await fleet.wait_until(lambda: roster.endpoints["p1"].is_draining)
            before = len(runner.received)
            for number in range(8):
                response = await fleet.send_request("/look/1", f"id-{number}")
                assert response.status == 200
            assert len(runner.received) == before

    standin.run_scenario(scenario)


def test_request_is_not_run_by_another_instance_at_the_same_address():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.runners["p1"].name = "p1-again"
            response = await fleet.send_request(
                "/issue/1", "id-1", "POST", b"{}"
            )
            assert response.status == 503
            assert not fleet.runners["p1"].executed

    standin.run_scenario(scenario)


def test_malformed_entries_are_skipped():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            entry = fleet.runners["p1"].entry()
            fleet.store.put("servers/b1", b"\xff\x00")
            fleet.store.put("servers/b2", entry | {"state": "asleep"})
            fleet.store.put("servers/b3", entry | {"address": 7})
            fleet.store.put("servers/b4", {"service": "plain"})
            fleet.store.put("servers/p2", entry | {"extra": [1]})
            roster = fleet.gateways[0].local_state.roster
            await fleet.wait_until(lambda: "p2" in roster.endpoints)
            assert set(roster.endpoints) == {"p1", "p2"}

    standin.run_scenario(scenario)


def test_endpoints_are_listed_again_after_the_store_loses_its_history():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            calls = fleet.store.request_count
            fleet.store._notify_watchers()
            await fleet.wait_until(lambda: fleet.store.request_count > calls)
            new_runner = standin.Runner("p2", "plain")
            await new_runner.start()
            fleet.store.put("servers/p2", new_runner.entry())
            fleet.store.forget_history()
            fleet.store.is_down = False
            roster = fleet.gateways[0].local_state.roster
            await fleet.wait_until(lambda: "p2" in roster.endpoints)

    standin.run_scenario(scenario)


def test_gateway_continues_to_serve_while_the_store_is_down():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            await asyncio.sleep(0.5)
            assert (await fleet.send_request("/look/1", "id-1")).status == 200
            assert fleet.gateways[0].ready

    standin.run_scenario(scenario)


def test_address_list_has_every_gateway_except_one_that_is_stopping():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:

            async def resolve():
                response = await fleet.client.request(
                    fleet.address("directory_address"),
                    "GET",
                    f"/api/resolve?name={standin.HOST}&region=r&zone=zone-a",
                    {},
                )
                return json.loads(response.body)["addresses"]

            expected = {str(fleet.address("public_address", n)) for n in (0, 1)}
            async with asyncio.timeout(standin.TIMEOUT_S):
                while set(await resolve()) != expected:
                    await asyncio.sleep(0.05)
                fleet.gateways[1].stop()
                assert not fleet.gateways[1].ready
                while len(await resolve()) != 1:
                    await asyncio.sleep(0.05)

    standin.run_scenario(scenario)


def test_address_list_omits_a_suspected_gateway():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:
            members = fleet.gateways[0].members
            await fleet.wait_until(lambda: "gateway-1" in members.reachable)
            suspect = members.members["gateway-1"]._replace(
                name="gateway-9",
                public_address="127.0.0.9:9",
                peer_address="127.0.0.9:10",
                state=membership.State.SUSPECT,
            )
            members.add_members([suspect], asyncio.get_running_loop().time())
            assert "gateway-9" in members.alive
            response = await fleet.client.request(
                fleet.address("directory_address"),
                "GET",
                f"/api/resolve?name={standin.HOST}&region=r&zone=zone-a",
                {},
            )
            expected = {str(fleet.address("public_address", n)) for n in (0, 1)}
            assert set(json.loads(response.body)["addresses"]) == expected

    standin.run_scenario(scenario)


@pytest.mark.parametrize("holder", ["e1", "e2", "e3", "e4"])
def test_prompt_is_routed_to_its_cache_after_all_gateways_restarted(holder):
    async def scenario():
        runners = _engines("e1", "e2", "e3", "e4")
        fleet = standin.Fleet(runners, first_start=False)
        fleet.runners[holder].cached_parts = [["aa", 500], ["bb", 2000]]
        prompt = {
            "Token_Count": "2510,40",
            "Prompt_Prefix": "aa:500,bb:2000,cc:10",
        }
        async with fleet:
            response = await fleet.send_stream_request(
                "/ask/1", "id-1", **prompt
            )
            assert response.headers["server-seal"] == f"seal-of-{holder}"
            assert [runner.cache_list_count for runner in runners] == [1] * 4

    standin.run_scenario(scenario)


def test_graceful_stop_completes_the_open_requests():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            fleet.runners["e1"].event_count = 60
            pending = asyncio.create_task(
                fleet.send_stream_request("/draft/1", "id-1")
            )
            await fleet.wait_until(lambda: fleet.runners["e1"].executed)
            fleet.gateways[0].stop()
            rejected = await fleet.send_request("/none/1", "id-2")
            assert rejected.headers["connection"] == "close"
            response = await pending
            assert response.body.endswith(b"data: piece 60\n\n")
            await asyncio.wait_for(fleet.tasks[0], standin.TIMEOUT_S)

    standin.run_scenario(scenario)


def test_graceful_stop_answers_every_request_that_it_forwarded():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            outcomes = []

            async def ask(number):
                try:
                    response = await fleet.send_request(
                        "/look/1", f"id-{number}"
                    )
                except standin.http_client.ConnectError:
                    return
                except standin.http_client.ExchangeError:
                    outcomes.append((f"id-{number}", 0))
                    return
                outcomes.append((f"id-{number}", response.status))

            stop = fleet.tasks[0]
            fleet.gateways[0].stop()
            pending = []
            while not stop.done():
                pending.append(asyncio.create_task(ask(len(pending))))
                await asyncio.sleep(0.002)
            await asyncio.gather(*pending)
            answered = {name for name, status in outcomes if status == 200}
            assert answered == set(fleet.runners["p1"].executed)

    standin.run_scenario(scenario)


def test_new_gateway_starts_from_a_peer_while_the_store_is_down():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            new_gateway = fleet.start_gateway()
            await fleet.wait_until(lambda: new_gateway.ready)
            assert (
                await fleet.send_request("/look/1", "id-1", gateway_index=1)
            ).status == 200

    standin.run_scenario(scenario)


def test_gateway_with_a_hanging_store_gets_changes_from_a_peer():
    async def scenario():
        async def hold(exchange):
            await exchange.disconnected.wait()

        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            silent = standin.free_address()
            server = await http_server.serve(vms.parse_address(silent), hold)
            new_gateway = fleet.start_gateway(platform_address=silent)
            await fleet.wait_until(lambda: new_gateway.ready)
            runner = fleet.runners["p1"]
            fleet.store.put("servers/p1", runner.entry(state="draining", seq=2))
            roster = new_gateway.local_state.roster
            await fleet.wait_until(lambda: roster.endpoints["p1"].is_draining)
            await server.close()

    standin.run_scenario(scenario)


def test_peer_returns_its_endpoint_list_only_if_the_digest_differs():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:
            for gateway in fleet.gateways:
                await fleet.wait_until(
                    lambda it=gateway: not it._peer_sync.is_platform_unavailable
                )

            async def read_published(query):
                response = await fleet.client.request(
                    fleet.address("control_address"),
                    "GET",
                    f"/published?{query}",
                    {},
                )
                return cbor2.loads(response.body)

            digest = fleet.gateways[1].local_state.roster.digest()
            assert await read_published(f"1&{digest}") == [b"", 0, [], {}]
            document, revision, listed, _ = await read_published("0&")
            assert document and revision
            assert [item[0] for item in listed] == ["p1"]
            # Earlier versions know no eras and expect nine fields.
            assert listed[0][7] == revision
            assert len(listed[0]) == 9
            assert len((await read_published("1&another"))[2]) == 1
            _, revision, listed, *_ = await read_published("0&&&&eras")
            assert revision == listed[0][7] == [1, fleet.store.revision]

    standin.run_scenario(scenario)


def test_request_that_crashes_its_endpoints_is_refused():
    async def scenario():
        runners = _engines("e1", "e2", "e3")
        async with standin.Fleet(runners) as fleet:

            async def crash(runner, exchange):
                runner.executed.append(exchange.request.headers["attempt-id"])
                await runner.server.close()

            for runner in runners:
                runner.behaviors = [crash]
            for number in range(6):
                try:
                    await fleet.send_stream_request("/draft/1", f"id-{number}")
                except standin.http_client.ExchangeError:
                    continue
            assert sum(len(runner.executed) for runner in runners) <= 3

    standin.run_scenario(scenario)


def test_request_that_crashed_endpoints_is_refused_by_every_gateway():
    async def scenario():
        runners = _engines("e1", "e2", "e3", "e4", "e5")
        async with standin.Fleet(runners, gateways=2) as fleet:
            members = fleet.gateways[1].members
            await fleet.wait_until(lambda: len(members.alive) == 2)

            async def crash(runner, exchange):
                runner.executed.append(exchange.request.headers["attempt-id"])
                await runner.server.close()

            for runner in runners:
                runner.behaviors = [crash]
            for attempt in range(8):
                try:
                    await fleet.send_stream_request(
                        "/draft/1", f"id-{attempt}", gateway_index=attempt % 2
                    )
                except standin.http_client.ExchangeError:
                    continue
                await asyncio.sleep(0.1)
            assert sum(len(runner.executed) for runner in runners) <= 3

    standin.run_scenario(scenario)


def test_crash_after_the_first_event_is_not_charged_to_the_request():
    async def scenario():
        runners = _engines("e1", "e2", "e3")
        async with standin.Fleet(runners) as fleet:

            async def crash(runner, exchange):
                await standin.cut_stream_after(1)(runner, exchange)
                await runner.server.close()

            for runner in runners:
                runner.behaviors = [crash]
            for attempt in range(2):
                with pytest.raises(standin.http_client.ExchangeError):
                    await fleet.send_stream_request("/ask/1", f"id-{attempt}")
                await asyncio.sleep(0.1)
            assert not fleet.gateways[0].crashes.requests.charged

    standin.run_scenario(scenario)


def test_non_numeric_event_ids_are_reported_as_errors():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            bad = await fleet.send_stream_request(
                "/draft/1", "id-1", Last_Event_Id="x"
            )
            assert bad.status == 400

            async def unnumbered(runner, exchange):
                request = exchange.request
                runner.executed.append(request.headers["attempt-id"])
                exchange.start(200, runner.response_fields(request))
                exchange.write(b"id: one\ndata: 1\n\n")
                exchange.finish()

            fleet.runners["e1"].behaviors = [unnumbered]
            response = await fleet.send_stream_request("/ask/1", "id-2")
            assert response.status == 502
            assert b"not a number" in response.body

    standin.run_scenario(scenario)


# Guards against requests that run and get no answer.
def test_header_fields_outside_ascii_reach_endpoint_and_caller():
    name = "caf\u00e9.pdf"

    async def answer_with_name(runner, exchange):
        request = exchange.request
        runner.executed.append(request.headers["attempt-id"])
        headers = [
            *runner.response_fields(request),
            ("X-File-Name", request.headers["x-file-name"]),
        ]
        exchange.send(standin.http_server.Response(200, headers, b"done"))

    async def scenario():
        runner = standin.Runner("p1", "plain")
        runner.behaviors = [answer_with_name] * 3
        async with standin.Fleet([runner]) as fleet:
            for number in range(3):
                response = await fleet.send_request(
                    "/look/1", f"id-{number}", X_File_Name=name
                )
                assert response.status == 200
                assert response.headers["x-file-name"] == name

    standin.run_scenario(scenario)
