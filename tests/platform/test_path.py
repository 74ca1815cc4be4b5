"""The whole path through the adapter: callers, gateway, store, runners."""

import asyncio
import json

import cbor2
import pytest
import standin

from nutmegpost_core import membership
from nutmegpost_core import vms
from nutmegpost_router import http_server

PIECES = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


def _plain(*names):
    return [standin.Runner(name, "plain") for name in names]


def _engines(*names):
    return [standin.Runner(name, "engines", 8) for name in names]


def test_a_safe_call_is_answered_as_its_endpoint_answered():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            answer = await fleet.ask("/look/1?x=2", "id-1")
            assert answer.status == 200
            assert answer.body == b"answer to /look/1?x=2"
            assert answer.headers["attempt-id"] == "id-1"
            assert answer.headers["server-seal"] == "seal-of-p1"
            seen = fleet.runners["p1"].seen[0]
            assert seen.headers["expect-instance"] == "p1"
            assert seen.headers["tenant"] == "acme"
            assert "authorization" not in seen.headers
            assert int(seen.headers["deadline-ms"]) <= 3000

    standin.run(scenario)


def test_headers_that_only_a_router_sets_are_not_taken_from_callers():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            await fleet.ask(
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
            seen = fleet.runners["p1"].seen[0].headers
            assert seen["tenant"] == "acme"
            assert seen["expect-instance"] == "p1"
            assert seen["x-own"] == "kept"
            dropped = {"hold", "pin-ms", "kv-from", "kv-backup", "keep-alive"}
            assert not dropped & set(seen)

    standin.run(scenario)


def test_a_stream_is_passed_on_as_it_came():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            answer = await fleet.stream("/draft/1", "id-1")
            assert answer.status == 200
            assert answer.body == PIECES
            assert answer.headers["content-type"] == "text/event-stream"

    standin.run(scenario)


def test_a_route_with_a_shorter_target_is_more_urgent_at_the_endpoint():
    async def scenario():
        config = standin.configuration(1)
        for route in config["routes"]:
            if route["name"] == "draft":
                route["targetLatencyMs"] = 2500
        runners = _engines("e1")
        async with standin.Fleet(runners, config=config) as fleet:
            await fleet.stream("/draft/1", "id-1")
            await fleet.stream("/ask/1", "id-2")
            levels = [
                int(request.headers["request-urgency"])
                for request in fleet.runners["e1"].seen
            ]
            assert levels[1] < levels[0]

    standin.run(scenario)


def test_a_resumable_stream_goes_on_at_another_endpoint_without_a_gap():
    async def scenario():
        async with standin.Fleet(_engines("e1", "e2")) as fleet:
            order = []

            async def cut_the_first(runner, exchange):
                order.append(runner.name)
                cut = standin.cut_after(2)
                act = cut if len(order) == 1 else standin.answer
                await act(runner, exchange)

            for runner in fleet.runners.values():
                runner.acts = [cut_the_first]
            answer = await fleet.stream("/draft/1", "id-1")
            assert answer.body == PIECES
            assert answer.headers["server-seal"] == f"seal-of-{order[0]}"
            second = fleet.runners[order[1]].seen[0]
            assert second.headers["last-event-id"] == "2"

    standin.run(scenario)


def test_a_stream_that_may_not_be_resumed_is_broken_and_not_ended():
    async def scenario():
        async with standin.Fleet(_engines("e1", "e2")) as fleet:
            for runner in fleet.runners.values():
                runner.acts = [standin.cut_after(2)]
            # A reset can overtake the events before it; then none was passed
            # on and the failure can still be told.
            try:
                answer = await fleet.stream("/ask/1", "id-1")
            except standin.http_client.ExchangeError:
                pass
            else:
                assert answer.status == 502
            runs = [run for r in fleet.runners.values() for run in r.runs]
            assert runs == ["id-1"]

    standin.run(scenario)


def test_a_safe_call_is_retried_at_another_endpoint():
    async def scenario():
        for act in (
            standin.lose,
            standin.fail(500),
            standin.mistake,
            standin.unsigned,
            standin.reject,
        ):
            async with standin.Fleet(_plain("p1", "p2")) as fleet:
                once = [act]

                async def first_badly(runner, exchange, once=once):
                    found = once.pop() if once else standin.answer
                    await found(runner, exchange)

                for runner in fleet.runners.values():
                    runner.acts = [first_badly]
                answer = await fleet.ask("/look/1", "id-1")
                assert answer.status == 200, act
                assert answer.body == b"answer to /look/1"

    standin.run(scenario)


def test_an_unsafe_call_that_may_have_run_is_not_repeated():
    async def scenario():
        for act in (standin.lose, standin.mistake, standin.unsigned):
            async with standin.Fleet(_plain("p1", "p2")) as fleet:
                for runner in fleet.runners.values():
                    runner.acts = [act]
                answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
                # Neither 503 nor 429, which say that it has not run.
                assert answer.status == 502, act
                assert "server-seal" not in answer.headers
                runs = [run for r in fleet.runners.values() for run in r.runs]
                assert runs == ["id-1"]

    standin.run(scenario)


def test_an_unsafe_call_that_was_rejected_goes_to_another_endpoint():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            once = [standin.reject]

            async def first_rejected(runner, exchange):
                act = once.pop() if once else standin.answer
                await act(runner, exchange)

            for runner in fleet.runners.values():
                runner.acts = [first_rejected]
            answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
            assert answer.status == 200
            runs = [run for r in fleet.runners.values() for run in r.runs]
            assert runs == ["id-1"]

    standin.run(scenario)


def test_the_failure_of_an_endpoint_is_passed_on_unchanged():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.runners["p1"].acts = [standin.fail(500)]
            answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
            assert (answer.status, answer.body) == (500, b"failed")
            assert answer.headers["server-seal"] == "seal-of-p1"

    standin.run(scenario)


def test_a_call_that_every_endpoint_rejects_is_told_when_to_come_back():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            for runner in fleet.runners.values():
                runner.acts = [standin.reject] * 5
            answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert not any(r.runs for r in fleet.runners.values())

    standin.run(scenario)


def test_an_answer_that_does_not_come_ends_at_the_timeout_of_its_route():
    async def scenario():
        config = standin.configuration(1)
        config["routes"][1]["timeoutMs"] = 200
        async with standin.Fleet(_plain("p1"), config=config) as fleet:
            fleet.runners["p1"].acts = [standin.hang]
            answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
            assert answer.status == 504
            await fleet.until(lambda: fleet.runners["p1"].cancelled == ["id-1"])

    standin.run(scenario)


def test_a_caller_that_leaves_cancels_its_request_at_the_endpoint():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            fleet.runners["e1"].acts = [standin.hang]
            asked = asyncio.create_task(fleet.stream("/draft/1", "id-1"))
            await fleet.until(lambda: fleet.runners["e1"].runs)
            asked.cancel()
            await fleet.until(lambda: fleet.runners["e1"].cancelled == ["id-1"])

    standin.run(scenario)


def test_a_caller_that_reads_nothing_and_leaves_cancels_its_request():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:

            async def flood(runner, exchange):
                request = exchange.request
                runner.runs.append(request.headers["attempt-id"])
                exchange.start(200, runner.head(request))
                number = 0
                while not exchange.disconnected.is_set():
                    number += 1
                    exchange.write(b"id: %d\ndata: " % number)
                    exchange.write(b"x" * 100_000 + b"\n\n")
                    await exchange.drain()
                    sent.append(number)
                    await asyncio.sleep(0)

            sent = []
            fleet.runners["e1"].acts = [flood]
            address = fleet.address("public_address")
            _, writer = await asyncio.open_connection(*address)
            writer.write(
                b"POST /ask/1 HTTP/1.1\r\nHost: %b\r\nAttempt-Id: id-1\r\n"
                b"Authorization: Bearer %b\r\nModel: m\r\n"
                b"Token-Count: 60,40\r\nPrompt-Prefix: aa:20,cc:40\r\n"
                b"Content-Length: 2\r\n\r\n{}"
                % (standin.HOST.encode(), standin.KEY.encode())
            )
            # The pipe is full once the endpoint cannot write any more.
            await fleet.until(lambda: sent)
            seen = 0
            while len(sent) > seen:
                seen = len(sent)
                await asyncio.sleep(0.2)
            writer.transport.abort()
            cancelled = fleet.runners["e1"].cancelled
            await fleet.until(lambda: cancelled == ["id-1"])

    standin.run(scenario)


def test_routes_and_keys_decide_the_status():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            unknown = await fleet.ask("/none/1", "id-1")
            assert unknown.status == 404
            no_key = await fleet.ask("/look/1", "id-2", Authorization="")
            assert no_key.status == 401
            wrong = await fleet.ask("/look/1", "id-3", Authorization="Bearer x")
            assert wrong.status == 401
            no_id = await fleet.ask("/look/1", "")
            assert no_id.status == 400
            bad = await fleet.ask("/look/1", "id-4", Deadline_Ms="soon")
            assert bad.status == 400
            large = await fleet.ask("/look/1", "id-5", "POST", b"x" * 20_001)
            assert large.status == 413
            assert not fleet.runners["p1"].seen

    standin.run(scenario)


def test_a_gateway_without_a_configuration_answers_503_and_is_not_ready():
    async def scenario():
        async with standin.Fleet(_plain("p1"), config={}) as fleet:
            await fleet.until(lambda: fleet.store.calls > 1)
            answer = await fleet.ask("/look/1", "id-1")
            assert answer.status == 503
            ready = await fleet.client.request(
                fleet.address("readiness_address"), "GET", "/api/ready", {}
            )
            assert ready.status == 503
            fleet.store.put("op/config", standin.configuration(1))
            await fleet.until(lambda: fleet.gateways[0].ready)
            assert (await fleet.ask("/look/1", "id-2")).status == 200

    standin.run(scenario)


def test_a_new_configuration_is_in_force_and_an_older_one_is_not_taken():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            newer = standin.configuration(5)
            newer["tenants"][0]["apiKeys"] = ["other"]
            fleet.store.put("op/config", newer)
            status = 0
            async with asyncio.timeout(standin.WAIT_S):
                while status != 401:
                    status = (await fleet.ask("/look/1", "id-1")).status
            fleet.store.put("op/config", standin.configuration(4))
            fleet.store.put("op/config", b"{no json")
            await asyncio.sleep(0.2)
            assert (await fleet.ask("/look/1", "id-2")).status == 401
            other = await fleet.ask(
                "/look/1", "x", Authorization="Bearer other"
            )
            assert other.status == 200

    standin.run(scenario)


def test_a_draining_endpoint_gets_no_new_request():
    async def scenario():
        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            runner = fleet.runners["p1"]
            fleet.store.put("servers/p1", runner.entry(state="draining"))
            known = fleet.gateways[0].local_state.roster
            await fleet.until(lambda: known.endpoints["p1"].is_draining)
            before = len(runner.seen)
            for number in range(8):
                answer = await fleet.ask("/look/1", f"id-{number}")
                assert answer.status == 200
            assert len(runner.seen) == before

    standin.run(scenario)


def test_an_address_that_another_endpoint_took_over_runs_nothing():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.runners["p1"].name = "p1-again"
            answer = await fleet.ask("/issue/1", "id-1", "POST", b"{}")
            assert answer.status == 503
            assert not fleet.runners["p1"].runs

    standin.run(scenario)


def test_entries_that_cannot_be_read_name_no_endpoint():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            entry = fleet.runners["p1"].entry()
            fleet.store.put("servers/b1", b"\xff\x00")
            fleet.store.put("servers/b2", entry | {"state": "asleep"})
            fleet.store.put("servers/b3", entry | {"address": 7})
            fleet.store.put("servers/b4", {"service": "plain"})
            fleet.store.put("servers/p2", entry | {"extra": [1]})
            known = fleet.gateways[0].local_state.roster
            await fleet.until(lambda: "p2" in known.endpoints)
            assert set(known.endpoints) == {"p1", "p2"}

    standin.run(scenario)


def test_the_store_may_forget_its_history():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            calls = fleet.store.calls
            fleet.store._wake()
            await fleet.until(lambda: fleet.store.calls > calls)
            late = standin.Runner("p2", "plain")
            await late.start()
            fleet.store.put("servers/p2", late.entry())
            fleet.store.forget_history()
            fleet.store.is_down = False
            known = fleet.gateways[0].local_state.roster
            await fleet.until(lambda: "p2" in known.endpoints)

    standin.run(scenario)


def test_a_gateway_serves_on_while_the_store_is_down():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            await asyncio.sleep(0.5)
            assert (await fleet.ask("/look/1", "id-1")).status == 200
            assert fleet.gateways[0].ready

    standin.run(scenario)


def test_callers_are_told_of_every_gateway_and_not_of_one_that_stops():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:

            async def told():
                answer = await fleet.client.request(
                    fleet.address("directory_address"),
                    "GET",
                    f"/api/resolve?name={standin.HOST}&region=r&zone=zone-a",
                    {},
                )
                return json.loads(answer.body)["addresses"]

            every = {str(fleet.address("public_address", n)) for n in (0, 1)}
            async with asyncio.timeout(standin.WAIT_S):
                while set(await told()) != every:
                    await asyncio.sleep(0.05)
                fleet.gateways[1].stop()
                assert not fleet.gateways[1].ready
                while len(await told()) != 1:
                    await asyncio.sleep(0.05)

    standin.run(scenario)


def test_callers_are_not_sent_to_a_gateway_that_is_suspected():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:
            members = fleet.gateways[0].members
            await fleet.until(lambda: "gateway-1" in members.reachable)
            suspect = members.members["gateway-1"]._replace(
                name="gateway-9",
                public_address="127.0.0.9:9",
                peer_address="127.0.0.9:10",
                state=membership.State.SUSPECT,
            )
            members.add_members([suspect], asyncio.get_running_loop().time())
            assert "gateway-9" in members.alive
            answer = await fleet.client.request(
                fleet.address("directory_address"),
                "GET",
                f"/api/resolve?name={standin.HOST}&region=r&zone=zone-a",
                {},
            )
            every = {str(fleet.address("public_address", n)) for n in (0, 1)}
            assert set(json.loads(answer.body)["addresses"]) == every

    standin.run(scenario)


@pytest.mark.parametrize("holder", ["e1", "e2", "e3", "e4"])
def test_a_prompt_goes_to_its_cache_after_all_gateways_started_again(holder):
    async def scenario():
        runners = _engines("e1", "e2", "e3", "e4")
        fleet = standin.Fleet(runners, first_start=False)
        fleet.runners[holder].held = [["aa", 500], ["bb", 2000]]
        prompt = {
            "Token_Count": "2510,40",
            "Prompt_Prefix": "aa:500,bb:2000,cc:10",
        }
        async with fleet:
            answer = await fleet.stream("/ask/1", "id-1", **prompt)
            assert answer.headers["server-seal"] == f"seal-of-{holder}"
            assert [runner.lists for runner in runners] == [1] * 4

    standin.run(scenario)


def test_a_planned_stop_finishes_the_requests_that_are_open():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            fleet.runners["e1"].events = 60
            asked = asyncio.create_task(fleet.stream("/draft/1", "id-1"))
            await fleet.until(lambda: fleet.runners["e1"].runs)
            fleet.gateways[0].stop()
            late = await fleet.ask("/none/1", "id-2")
            assert late.headers["connection"] == "close"
            answer = await asked
            assert answer.body.endswith(b"data: piece 60\n\n")
            await asyncio.wait_for(fleet.tasks[0], standin.WAIT_S)

    standin.run(scenario)


def test_no_request_is_passed_on_and_dropped_at_the_end_of_a_planned_stop():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            outcomes = []

            async def ask(number):
                try:
                    answer = await fleet.ask("/look/1", f"id-{number}")
                except standin.http_client.ConnectError:
                    return
                except standin.http_client.ExchangeError:
                    outcomes.append((f"id-{number}", 0))
                    return
                outcomes.append((f"id-{number}", answer.status))

            stop = fleet.tasks[0]
            fleet.gateways[0].stop()
            asked = []
            while not stop.done():
                asked.append(asyncio.create_task(ask(len(asked))))
                await asyncio.sleep(0.002)
            await asyncio.gather(*asked)
            answered = {name for name, status in outcomes if status == 200}
            assert answered == set(fleet.runners["p1"].runs)

    standin.run(scenario)


def test_a_new_gateway_learns_from_a_peer_while_the_store_is_down():
    async def scenario():
        async with standin.Fleet(_plain("p1")) as fleet:
            fleet.store.is_down = True
            late = fleet.start_gateway()
            await fleet.until(lambda: late.ready)
            assert (await fleet.ask("/look/1", "id-1", number=1)).status == 200

    standin.run(scenario)


def test_a_gateway_that_the_store_leaves_waiting_hears_of_it_from_a_peer():
    async def scenario():
        async def hold(exchange):
            await exchange.disconnected.wait()

        async with standin.Fleet(_plain("p1", "p2")) as fleet:
            silent = standin.free_address()
            server = await http_server.serve(vms.parse_address(silent), hold)
            late = fleet.start_gateway(platform_address=silent)
            await fleet.until(lambda: late.ready)
            runner = fleet.runners["p1"]
            fleet.store.put("servers/p1", runner.entry(state="draining", seq=2))
            known = late.local_state.roster
            await fleet.until(lambda: known.endpoints["p1"].is_draining)
            await server.close()

    standin.run(scenario)


def test_peers_tell_their_list_only_where_it_differs():
    async def scenario():
        async with standin.Fleet(_plain("p1"), gateways=2) as fleet:
            for gateway in fleet.gateways:
                await fleet.until(
                    lambda it=gateway: not it._peer_sync.is_platform_unavailable
                )

            async def told(query):
                answer = await fleet.client.request(
                    fleet.address("control_address"),
                    "GET",
                    f"/published?{query}",
                    {},
                )
                return cbor2.loads(answer.body)

            digest = fleet.gateways[1].local_state.roster.digest()
            assert await told(f"1&{digest}") == [b"", 0, [], {}]
            document, revision, listed, _ = await told("0&")
            assert document and revision
            assert [item[0] for item in listed] == ["p1"]
            assert len((await told("1&another"))[2]) == 1

    standin.run(scenario)


def test_a_request_that_crashes_its_endpoints_is_refused():
    async def scenario():
        runners = _engines("e1", "e2", "e3")
        async with standin.Fleet(runners) as fleet:

            async def crash(runner, exchange):
                runner.runs.append(exchange.request.headers["attempt-id"])
                await runner.server.close()

            for runner in runners:
                runner.acts = [crash]
            for number in range(6):
                try:
                    await fleet.stream("/draft/1", f"id-{number}")
                except standin.http_client.ExchangeError:
                    continue
            assert sum(len(runner.runs) for runner in runners) <= 3

    standin.run(scenario)


def test_a_request_that_crashed_endpoints_is_refused_by_every_gateway():
    async def scenario():
        runners = _engines("e1", "e2", "e3", "e4", "e5")
        async with standin.Fleet(runners, gateways=2) as fleet:
            members = fleet.gateways[1].members
            await fleet.until(lambda: len(members.alive) == 2)

            async def crash(runner, exchange):
                runner.runs.append(exchange.request.headers["attempt-id"])
                await runner.server.close()

            for runner in runners:
                runner.acts = [crash]
            for attempt in range(8):
                try:
                    await fleet.stream(
                        "/draft/1", f"id-{attempt}", number=attempt % 2
                    )
                except standin.http_client.ExchangeError:
                    continue
                await asyncio.sleep(0.1)
            assert sum(len(runner.runs) for runner in runners) <= 3

    standin.run(scenario)


def test_requests_that_gave_events_before_a_crash_are_not_charged():
    async def scenario():
        runners = _engines("e1", "e2", "e3")
        async with standin.Fleet(runners) as fleet:

            async def crash(runner, exchange):
                await standin.cut_after(1)(runner, exchange)
                await runner.server.close()

            for runner in runners:
                runner.acts = [crash]
            for attempt in range(2):
                with pytest.raises(standin.http_client.ExchangeError):
                    await fleet.stream("/ask/1", f"id-{attempt}")
                await asyncio.sleep(0.1)
            assert not fleet.gateways[0].local_state.crashes.charged

    standin.run(scenario)


def test_event_ids_that_are_no_numbers_end_the_request_with_a_known_error():
    async def scenario():
        async with standin.Fleet(_engines("e1")) as fleet:
            bad = await fleet.stream("/draft/1", "id-1", Last_Event_Id="x")
            assert bad.status == 400

            async def unnumbered(runner, exchange):
                request = exchange.request
                runner.runs.append(request.headers["attempt-id"])
                exchange.start(200, runner.head(request))
                exchange.write(b"id: one\ndata: 1\n\n")
                exchange.finish()

            fleet.runners["e1"].acts = [unnumbered]
            answer = await fleet.stream("/ask/1", "id-2")
            assert answer.status == 502
            assert b"not a number" in answer.body

    standin.run(scenario)
