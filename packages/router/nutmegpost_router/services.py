"""Calls of plain services.

A repeatable call goes to the least loaded runner and is retried at most once.
A call that is not repeatable runs at most once and needs a permit. The router
that holds the permit claims it and sends the call once, on a fresh connection;
only that router may report that the call did not run. When it does not answer,
the outcome is unknown, because another copy of the call may have reached it.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Sequence
import contextlib
import json
import secrets
from typing import Any, NamedTuple

from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import permits
from nutmegpost_core import retry
from nutmegpost_core import vms
from nutmegpost_core import wire
from nutmegpost_router import http_client
from nutmegpost_router import log

__all__ = ["Ports", "Runner", "ServiceAnswer", "ServiceCaller"]

CALL_TIMEOUT_S = 10.0
REPEATABLE_TIMEOUT_S = 5.0
RUNNERS_TRIED_MAX = 3
FORWARDS_MAX = 3
# Retries earned per first attempt, and the most that accumulate.
RETRY_BUDGET_SHARE = 0.1
RETRY_BUDGET_BURST = 10.0
RETRY_AFTER_S = 1.0
_NOT_RUN_CODES = frozenset(["leaving", "full", "loading"])
_NOT_RUN_STATUSES = frozenset([429, 503])


class Runner(NamedTuple):
    """A runner that can receive a call.

    Attributes:
        name: Name, as in the VM list.
        address: Address on which it listens.
        load: Number of calls in flight that it reported.
    """

    name: str
    address: vms.Address
    load: int


class ServiceAnswer(NamedTuple):
    """The answer to a call of a plain service.

    Attributes:
        status: HTTP status.
        body: The body, or the text of the error.
        outcome: Whether the call ran.
        fresh_permit: Permit for another attempt; empty for none.
        code: Error code; empty when the outcome is `answered`.
        retry_after: Seconds after which a retry may succeed; 0 for none.
    """

    status: int
    body: bytes
    outcome: errors.Outcome
    fresh_permit: str = ""
    code: str = ""
    retry_after: float = 0.0


class Ports(NamedTuple):
    """Dependencies of the service calls on the rest of the router.

    Attributes:
        client: The HTTP client.
        operation: Returns an operation of a service, given both names, or
            raises `errors.UnknownNameError`.
        runners: Returns the live runners of a service.
        forward: Sends a call to the named router and returns its result, or
            raises `errors.PeerError`.
        now: Returns the monotonic time, seconds.
        count_permit_event: Counts an event of a permit, such as `used`.
    """

    client: http_client.Client
    operation: Callable[[str, str], configuration.Operation]
    runners: Callable[[str], Sequence[Runner]]
    forward: Callable[[wire.Call, str], Awaitable[wire.CallResult]]
    now: Callable[[], float]
    count_permit_event: Callable[[str], None]


class _AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        result: Result of the call; None when the call did not run.
        reason: Why the attempt failed; empty when it succeeded.
    """

    result: permits.Result | None
    reason: str


_ANSWER_LOST = permits.Result(
    errors.Outcome.UNKNOWN.value,
    errors.AttemptLostError.status,
    errors.AttemptLostError.code,
    b"the call may have run, but its answer is lost",
)


class ServiceCaller:
    """Runs calls of plain services."""

    def __init__(self, table: permits.Table, ports: Ports):
        """Creates a caller without calls in flight.

        Args:
            table: The permits that this router holds.
            ports: Dependencies on the rest of the router.
        """
        self._table = table
        self._ports = ports
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._attempt_count = 0
        self._last_attempt: dict[str, int] = {}
        self._retry_budget = retry.RetryBudget(
            RETRY_BUDGET_SHARE, RETRY_BUDGET_BURST
        )
        self._runs: dict[tuple[int, int], asyncio.Task[permits.Result]] = {}

    async def call(
        self,
        account: str,
        service: str,
        operation: str,
        body: bytes,
        permit: str | None,
        age_s: float,
    ) -> ServiceAnswer:
        """Handles a call that a client sent to this router.

        Args:
            account: Account of the caller.
            service: Name of the service.
            operation: Name of the operation.
            body: Body of the call.
            permit: The permit that came with the call, or None.
            age_s: Seconds since the call reached the fleet.

        Returns:
            The answer, also when the call failed.
        """
        call = wire.Call(permit or "", account, service, operation, body, age_s)
        try:
            if self._is_repeatable(call):
                return await self._call_repeatable(call)
            return self._answer_with_fresh_permit(
                await self._run_or_forward(call), account
            )
        except errors.RequestError as caught:
            return self._answer_with_fresh_permit(
                _result_from_error(caught), account
            )

    async def serve(self, call: wire.Call) -> wire.CallResult:
        """Handles a call that another router forwarded.

        Args:
            call: The call.

        Returns:
            Its result, also when it failed.
        """
        try:
            result = await self._run_or_forward(call)
        except errors.RequestError as caught:
            result = _result_from_error(caught)
        return wire.CallResult(
            call.permit,
            result.outcome,
            result.status,
            result.code,
            result.body,
        )

    def mark_outcome_unknown(
        self, error: errors.RequestError, permit: str | None
    ) -> errors.RequestError:
        """Sets the outcome of a refusal that did not consult the permit.

        A router that refuses a call for a local reason, for example because it
        is stopping or its configuration is old, cannot tell whether another
        router runs a copy of the call under the same permit.

        Args:
            error: Why the call is refused.
            permit: The permit that came with the call, or None.

        Returns:
            The same error; its outcome is unknown when the permit is authentic
            and unchanged otherwise.
        """
        with contextlib.suppress(errors.PermitError):
            permits.decode(permit or "", self._table.key)
            error.outcome = errors.Outcome.UNKNOWN
        return error

    # Calls that are not repeatable

    async def _run_or_forward(self, call: wire.Call) -> permits.Result:
        if not call.permit:
            raise errors.PermitError("the operation needs a permit")
        permit = permits.decode(call.permit, self._table.key)
        if permit.account != call.account:
            raise errors.PermitError("the permit is of another account")
        route = self._table.route(permit, self._ports.now())
        if isinstance(route, permits.Remote):
            return await self._forward(call, route)
        digest = permits.call_digest(call.service, call.operation, call.body)
        claim = self._table.claim(
            permit, call.account, digest, self._ports.now()
        )
        return await self._result_of_claim(claim, call)

    async def _result_of_claim(
        self, claim: permits.Claim, call: wire.Call
    ) -> permits.Result:
        if isinstance(claim, permits.Recorded):
            self._ports.count_permit_event("repeated")
            return claim.result
        key = (claim.permit.incarnation, claim.permit.sequence)
        if isinstance(claim, permits.Run):
            self._ports.count_permit_event("used")
            run = asyncio.create_task(self._run_once(claim.permit, call))
            self._runs[key] = run
            run.add_done_callback(lambda _: self._runs.pop(key, None))
        else:
            self._ports.count_permit_event("joined")
        # A caller that is cancelled must not cancel the run, which other
        # callers with the same permit may await.
        return await asyncio.shield(self._runs[key])

    async def _forward(
        self, call: wire.Call, holder: permits.Remote
    ) -> permits.Result:
        if call.hops >= FORWARDS_MAX:
            raise errors.AttemptLostError("no router holds the permit")
        try:
            reply = await self._ports.forward(
                call._replace(hops=call.hops + 1), holder.name
            )
            outcome = errors.Outcome(reply.outcome)
        except (errors.PeerError, ValueError) as caught:
            self._ports.count_permit_event("unreachable")
            raise errors.AttemptLostError(
                f"the holder of the permit gave no answer: {caught}"
            ) from caught
        return permits.Result(
            outcome.value, reply.status, reply.code, reply.body
        )

    async def _run_once(
        self, permit: permits.Permit, call: wire.Call
    ) -> permits.Result:
        """Runs a claimed call and settles its claim on every exit path."""
        result = _ANSWER_LOST
        try:
            result = await self._try_runners(permit, call)
        except errors.RequestError as caught:
            result = _result_from_error(caught)
        except Exception as caught:  # Any error settles the claim.
            log.emit(events.CALL_FAULTED, reason=repr(caught))
        finally:
            if result.outcome == errors.Outcome.NOT_RUN:
                self._table.refuse(permit, result)
                self._ports.count_permit_event("refused")
            else:
                self._table.record(permit, result)
        return result

    async def _try_runners(
        self, permit: permits.Permit, call: wire.Call
    ) -> permits.Result:
        self._ports.operation(call.service, call.operation)
        tried: list[str] = []
        reason = "there is none"
        while runner := self._choose_runner(call.service, tried):
            tried.append(runner.name)
            self._table.mark_sent(permit)
            attempt = await self._attempt(
                runner,
                call.operation,
                call.body,
                {"Idempotency-Key": call.permit},
                CALL_TIMEOUT_S,
                fresh=True,
            )
            if attempt.result is not None:
                return attempt.result
            self._table.mark_unsent(permit)
            reason = attempt.reason
        raise _no_runner_error(call.service, reason)

    # Repeatable calls

    def _is_repeatable(self, call: wire.Call) -> bool:
        """Returns whether a call needs no permit and carries none.

        A call with an authentic permit runs at most once, also when its
        operation is repeatable.
        """
        with contextlib.suppress(errors.PermitError):
            permits.decode(call.permit, self._table.key)
            return False
        return self._ports.operation(call.service, call.operation)["repeatable"]

    async def _call_repeatable(self, call: wire.Call) -> ServiceAnswer:
        attempt = await self._try_repeatable(call)
        if attempt.result is None:
            refusal = _result_from_error(
                _no_runner_error(call.service, attempt.reason)
            )
            return _answer_from_result(refusal)
        return _answer_from_result(attempt.result)

    async def _try_repeatable(self, call: wire.Call) -> _AttemptResult:
        headers = {"X-Request-Id": secrets.token_hex(8)}
        now = self._ports.now()
        self._retry_budget.record_first_attempt(now)
        tried: list[str] = []
        attempt = _AttemptResult(None, "there is none")
        while runner := self._choose_runner(call.service, tried):
            if tried and not self._retry_budget.try_spend(now):
                break
            attempt = await self._attempt(
                runner,
                call.operation,
                call.body,
                headers,
                REPEATABLE_TIMEOUT_S,
                fresh=bool(tried),
            )
            tried.append(runner.name)
            if len(tried) > 1 or not _is_retryable(attempt):
                break
        return attempt

    # Runners

    def _choose_runner(
        self, service: str, tried: Sequence[str]
    ) -> Runner | None:
        """Returns the least loaded untried runner, or None.

        Among equally loaded runners it is the least recently used one.
        """
        if len(tried) >= RUNNERS_TRIED_MAX:
            return None
        untried = [
            runner
            for runner in self._ports.runners(service)
            if runner.name not in tried
        ]
        return min(untried, key=self._load_order, default=None)

    def _load_order(self, runner: Runner) -> tuple[int, int]:
        load = max(runner.load, self._in_flight[runner.name])
        return load, self._last_attempt.get(runner.name, 0)

    async def _attempt(
        self,
        runner: Runner,
        operation: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
        fresh: bool,
    ) -> _AttemptResult:
        self._attempt_count += 1
        self._last_attempt[runner.name] = self._attempt_count
        self._in_flight[runner.name] += 1
        try:
            response = await self._ports.client.request(
                runner.address,
                "POST",
                f"/{operation}",
                {"Content-Type": "application/json", **headers},
                body,
                timeout_s=timeout_s,
                fresh=fresh,
            )
        except http_client.ConnectError as caught:
            return _AttemptResult(None, str(caught))
        except errors.PeerError as caught:
            return _AttemptResult(_ANSWER_LOST, str(caught))
        finally:
            self._in_flight[runner.name] -= 1
        return _read_response(response)

    def _answer_with_fresh_permit(
        self, result: permits.Result, account: str
    ) -> ServiceAnswer:
        """Returns the answer, with a fresh permit if the call did not run."""
        answer = _answer_from_result(result)
        if answer.outcome is not errors.Outcome.NOT_RUN:
            return answer
        with contextlib.suppress(errors.StoppingError):
            permit = self._table.issue(account, self._ports.now())
            return answer._replace(fresh_permit=permit)
        return answer


def _read_response(response: http_client.Response) -> _AttemptResult:
    """Returns the result of an attempt that a runner answered."""
    if response.status in _NOT_RUN_STATUSES:
        code = _error_code(response.body)
        if code in _NOT_RUN_CODES:
            return _AttemptResult(None, f"the runner is {code}")
    if response.status >= 500:
        reason = f"the runner answered {response.status}"
        result = permits.Result(
            errors.Outcome.UNKNOWN.value, 502, "runner-failed", reason.encode()
        )
        return _AttemptResult(result, reason)
    result = permits.Result(
        errors.Outcome.ANSWERED.value, response.status, "", response.body
    )
    return _AttemptResult(result, "")


def _error_code(body: bytes) -> str:
    try:
        document: Any = json.loads(body)
        return str(document["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


def _is_retryable(attempt: _AttemptResult) -> bool:
    result = attempt.result
    return result is None or result.outcome == errors.Outcome.UNKNOWN


def _no_runner_error(service: str, reason: str) -> errors.UnavailableError:
    return errors.UnavailableError(
        f"no runner of {service} takes the call: {reason}"
    )


def _result_from_error(error: errors.RequestError) -> permits.Result:
    return permits.Result(
        error.outcome.value, error.status, error.code, str(error).encode()
    )


def _answer_from_result(result: permits.Result) -> ServiceAnswer:
    outcome = errors.Outcome(result.outcome)
    retry_after = 0.0
    if outcome is errors.Outcome.NOT_RUN and result.status in _NOT_RUN_STATUSES:
        retry_after = RETRY_AFTER_S
    return ServiceAnswer(
        result.status, result.body, outcome, "", result.code, retry_after
    )
