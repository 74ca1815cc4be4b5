"""Hedges: second attempts beside first ones that are late.

Both attempts have the identity of the request. The first complete answer, or
the first event of a stream, decides, and the connection of the other attempt is
aborted at once. Everything until then runs in the tasks of the two attempts,
each of which only touches the response to the caller in one step with deciding.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from nutmegpost_core import dispatch
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import hedging
from nutmegpost_core import prefill
from nutmegpost_router import log
from nutmegpost_router.gateway import crash_guard
from nutmegpost_router.gateway import links
from nutmegpost_router.gateway import load_queries
from nutmegpost_router.gateway import metrics
from nutmegpost_router.gateway import pending_request
from nutmegpost_router.gateway import repeats
from nutmegpost_router.gateway import replacements
from nutmegpost_router.gateway import sending
from nutmegpost_router.gateway import state

__all__ = ["Hedges", "Outcome"]

# Checks for evidence per usual duration of a request, and their interval.
_CHECKS_PER_REQUEST = 5
_CHECK_MIN_S = 0.005
_CHECK_MAX_S = 0.05
# Endpoints that a hedged request may run on.
_ENDPOINTS_MIN = 2


class Outcome(NamedTuple):
    """The attempt whose result decides, and that result."""

    choice: dispatch.Choice
    result: sending.AttemptResult


_FailureHandler = Callable[
    [
        pending_request.PendingRequest,
        dispatch.Choice,
        sending.AttemptResult,
    ],
    Awaitable[None],
]


class _Attempt:
    """An attempt that runs in a task.

    Attributes:
        load: Its load.
        task: The task.
        is_returned: Whether its result is that of the request's attempt.
    """

    def __init__(
        self,
        sender: sending.Sender,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
    ):
        self._has_begun = False
        self.is_returned = False
        self.load = load
        self.task = asyncio.create_task(self._run(sender, pending))

    async def _run(
        self, sender: sending.Sender, pending: pending_request.PendingRequest
    ) -> sending.AttemptResult:
        self._has_begun = True
        return await sender.send(pending, self.load, None)

    async def cancel(self) -> None:
        """Cancels the attempt, and waits until its connection is closed."""
        self.task.cancel()
        await asyncio.wait([self.task])
        if not (self.task.cancelled() or self.task.exception()):
            held = self.task.result().held
            if held is not None and not self.is_returned:
                held.end()
        if not self._has_begun:
            # The sender, which releases the load, was never called.
            self.load.release()


class Hedges:
    """Makes attempts, each with another one beside it if that helps."""

    def __init__(
        self,
        local_state: state.State,
        sender: sending.Sender,
        budgeted_repeats: repeats.Repeats,
        crashes: crash_guard.CrashGuard,
        endpoint_links: links.EndpointLinks,
        queries: load_queries.LoadQueries,
        counters: metrics.GatewayMetrics,
        has_waiting: Callable[[str], bool],
    ):
        """Creates an object that has made no attempt.

        Args:
            local_state: State of the gateway.
            sender: Makes attempts.
            budgeted_repeats: Pays for second attempts.
            crashes: Knows which requests may crash endpoints.
            endpoint_links: Knows whether any endpoint can be reached.
            queries: Asks for the loads of endpoints.
            counters: Metrics.
            has_waiting: Returns whether requests for a service wait here.
        """
        ratio = local_state.config.get("hedge_ratio", 0.0)
        self._state = local_state
        self._sender = sender
        self._repeats = budgeted_repeats
        self._crashes = crashes
        self._links = endpoint_links
        self._queries = queries
        self._counters = counters
        self._has_waiting = has_waiting
        self._is_on = ratio > 0
        self._evidence = hedging.Evidence(
            local_state.config.get("hedge_evidence", hedging.Evidence.SPEED)
        )
        self._budget = hedging.HedgeBudget(ratio)

    def record_request(self, service: str) -> None:
        """Records a request of a caller."""
        if self._is_on:
            self._budget.record_request(service)

    def are_possible(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
    ) -> bool:
        """Returns whether an attempt may get another one beside it.

        Only the first attempt of a request may. A gateway that relays a request
        may have sent it to endpoints before.

        Args:
            pending: The request.
            load: Load of the attempt, which has not been sent.
        """
        call = pending.call
        route = call.route
        if not (
            self._is_on
            and route.repeatable
            and route.endpoints_max >= _ENDPOINTS_MIN
            and not pending.attempts
            and not pending.is_relayed
        ):
            return False
        usual = self._state.latencies.usual(route.name, call.service)
        if usual is None:
            return False
        if self._evidence is hedging.Evidence.LATENCY:
            return usual.late_s is not None
        return self._state.speeds.reports(load.endpoint, _now())

    async def send(
        self,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
        handle_failure: _FailureHandler,
    ) -> Outcome:
        """Makes an attempt, and a second one if the first is late.

        Args:
            pending: The request.
            load: Load of the first attempt; is released.
            handle_failure: Records an attempt that ended without an answer
                while the other one goes on; may raise a RequestError.

        Returns:
            The attempt that decides and its result, which is not recorded yet.

        Raises:
            errors.RequestError: The request ends without another attempt.
        """
        race = _Race(
            self._sender,
            pending,
            load,
            lambda result: self._record_end(pending, load, result),
        )
        try:
            second = await self._wait_for_reason(pending, race)
            if second is not None:
                race.add(second)
            return await race.finish(handle_failure)
        finally:
            await race.close()

    async def _wait_for_reason(
        self, pending: pending_request.PendingRequest, race: "_Race"
    ) -> pending_request.InFlightLoad | None:
        """Waits until a second attempt is due.

        Returns:
            The load of the second attempt, which has been paid for; None if the
            first one ended, brought an event or is to be replaced.
        """
        refused: set[hedging.Result] = set()
        interval_s = self._check_interval_s(pending)
        while await race.is_undecided(interval_s):
            if pending.replacement is not None:
                return None
            if not self._has_reason(pending, race.first):
                continue
            refusal = self._refusal(pending)
            if refusal is None:
                await self._queries.learn(
                    lambda: self._choose(pending, race.first)
                )
                if not await race.is_undecided(0):
                    return None
                refusal, choice = self._select(pending, race.first)
                if choice is not None:
                    return pending_request.InFlightLoad(
                        self._state, pending.call, choice
                    )
            interval_s = _CHECK_MAX_S
            if refusal is not None and refusal not in refused:
                refused.add(refusal)
                self._counters.hedge_ended(pending.call.service, refusal)
        return None

    def _check_interval_s(
        self, pending: pending_request.PendingRequest
    ) -> float:
        call = pending.call
        usual = self._state.latencies.usual(call.route.name, call.service)
        median_s = usual.median_s if usual else 0.0
        interval_s = median_s / _CHECKS_PER_REQUEST
        return min(_CHECK_MAX_S, max(_CHECK_MIN_S, interval_s))

    def _outlook(self, first: pending_request.InFlightLoad) -> hedging.Outlook:
        now = _now()
        return hedging.Outlook(
            now - first.started,
            self._state.speeds.slowdown(first.endpoint, now),
            self._state.speeds.reports(first.endpoint, now),
        )

    def _has_reason(
        self,
        pending: pending_request.PendingRequest,
        first: pending_request.InFlightLoad,
    ) -> bool:
        """Returns whether the first attempt calls for a second one."""
        call = pending.call
        usual = self._state.latencies.usual(call.route.name, call.service)
        return (
            usual is not None
            and hedging.has_evidence(
                self._evidence, self._outlook(first), usual
            )
            and call.deadline - _now() >= replacements.ATTEMPT_TIME_MIN_S
            and not self._links.is_isolated
        )

    def _refusal(
        self, pending: pending_request.PendingRequest
    ) -> hedging.Result | None:
        """Returns why the request may have no second attempt, or None."""
        service = pending.call.service
        if self._may_crash(pending.fingerprint, _now()):
            return hedging.Result.CRASHING
        if self._is_contended(service):
            return hedging.Result.CONTENDED
        if not self._budget.is_allowed(service):
            return hedging.Result.OVER_RATIO
        if not self._repeats.is_allowed(service):
            return hedging.Result.OVER_BUDGET
        return None

    def _select(
        self,
        pending: pending_request.PendingRequest,
        first: pending_request.InFlightLoad,
    ) -> tuple[hedging.Result | None, dispatch.Choice | None]:
        """Selects the endpoint of a second attempt, and pays for it.

        Returns:
            Why there is none, or None; and the endpoint, or None.
        """
        call = pending.call
        usual = self._state.latencies.usual(call.route.name, call.service)
        choice = self._choose(pending, first)
        # Other requests may have spent the rest while loads were asked for.
        refusal = self._refusal(pending)
        if refusal is not None:
            return refusal, None
        if choice is None or usual is None or replacements.is_full(choice):
            return hedging.Result.NO_ENDPOINT, None
        outlook = self._outlook(first)
        slowdown = self._state.speeds.slowdown(choice.endpoint.name, _now())
        extra_s = choice.duplicate_prefill_tokens / prefill.PREFILL_TOKENS_PER_S
        if not hedging.is_faster(outlook, slowdown, extra_s, usual):
            return hedging.Result.NOT_FASTER, None
        self._repeats.try_spend(call, pending.attempts + 1)
        self._budget.spend(call.service)
        log.emit(
            events.HEDGE_SENT,
            request=call.identity,
            first=first.endpoint,
            second=choice.endpoint.name,
            after_ms=round(outlook.elapsed_s * 1000),
            first_slowdown=round(outlook.slowdown, 2),
            second_slowdown=round(slowdown, 2),
            usual_ms=round(usual.median_s * 1000),
            late_ms=round((usual.late_s or 0.0) * 1000),
        )
        return None, choice

    def _choose(
        self,
        pending: pending_request.PendingRequest,
        first: pending_request.InFlightLoad,
    ) -> dispatch.Choice | None:
        """Chooses the endpoint of a second attempt, or None."""
        call = pending.call
        now = _now()
        speeds = self._state.speeds
        needs_report = self._evidence is hedging.Evidence.SPEED
        unfit = {
            endpoint.name
            for endpoint in self._state.roster.usable(call.service)
            if endpoint.warming_until > now
            or speeds.slowdown(endpoint.name, now) >= hedging.USUAL_MAX
            or (needs_report and not speeds.reports(endpoint.name, now))
        }
        return self._state.choose(
            call,
            {
                first.endpoint,
                *unfit,
                *pending.tried_endpoints,
                *self._state.outliers.ejected(now),
                *self._state.liveness.avoided(False, now),
            },
            pending.software,
        )

    def _is_contended(self, service: str) -> bool:
        return self._has_waiting(service) or hedging.is_contended(
            (
                self._state.loads.total(endpoint.name).running,
                endpoint.slots or self._state.speeds.slots(endpoint.name),
            )
            for endpoint in self._state.usable(service)
        )

    def _may_crash(
        self, fingerprint: pending_request.Fingerprint, now: float
    ) -> bool:
        """Returns whether any crash is charged to a request or its parts."""
        charges = self._crashes.parts.charges
        return self._crashes.requests.count(
            fingerprint.request, now
        ) > 0 or any(charges.count(part, now) for part in fingerprint.parts)

    def _record_end(
        self,
        pending: pending_request.PendingRequest,
        first: pending_request.InFlightLoad,
        result: hedging.Result,
    ) -> None:
        """Records what became of a second attempt."""
        call = pending.call
        now = _now()
        self._counters.hedge_ended(call.service, result)
        if result is hedging.Result.WON:
            # Without the attempts that were cancelled late, the percentile
            # would fall, and more and more attempts would count as late.
            elapsed_s = now - first.started
            usual = self._state.latencies.usual(call.route.name, call.service)
            if usual and usual.late_s and elapsed_s > usual.late_s:
                self._state.latencies.record(
                    call.route.name, call.service, elapsed_s
                )
        log.emit(
            events.HEDGE_ENDED,
            request=call.identity,
            after_ms=round((now - call.received) * 1000),
            result=result,
        )


class _Race:
    """The attempts of one request of which the first answer is relayed."""

    def __init__(
        self,
        sender: sending.Sender,
        pending: pending_request.PendingRequest,
        load: pending_request.InFlightLoad,
        on_end: Callable[[hedging.Result], None],
    ):
        """Starts the first attempt.

        Args:
            sender: Makes the attempts.
            pending: The request.
            load: Load of the first attempt.
            on_end: Called with what became of the second attempt, if any.
        """
        self._sender = sender
        self._pending = pending
        self._attempts = [_Attempt(sender, pending, load)]
        self._winner: _Attempt | None = None
        self._on_end = on_end
        self._has_open_second = False
        pending.on_first_event = self._claim

    @property
    def first(self) -> pending_request.InFlightLoad:
        """Load of the first attempt."""
        return self._attempts[0].load

    def add(self, load: pending_request.InFlightLoad) -> None:
        """Starts the second attempt."""
        self._pending.is_hedged = True
        self._has_open_second = True
        self._attempts.append(_Attempt(self._sender, self._pending, load))

    async def is_undecided(self, seconds: float) -> bool:
        """Waits, and returns whether the first attempt has brought nothing."""
        task = self._attempts[0].task
        await asyncio.wait([task], timeout=seconds)
        return not (task.done() or self._winner)

    async def finish(self, handle_failure: _FailureHandler) -> Outcome:
        """Waits for the attempt that decides; see `Hedges.send`."""
        running = list(self._attempts)
        while True:
            await asyncio.wait(
                [attempt.task for attempt in running],
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [attempt for attempt in running if attempt.task.done()]
            winner = self._winner or next(
                (attempt for attempt in ended if _has_answered(attempt)), None
            )
            if winner is not None:
                self._claim(winner.load)
                result = await winner.task
                winner.is_returned = True
                return Outcome(winner.load.choice, result)
            self._pending.is_hedged = False
            if self._attempts[-1] in ended:
                self._end_second(hedging.Result.FAILED)
            running = [attempt for attempt in running if attempt not in ended]
            if not running:
                last = ended.pop()
                await self._handle(ended, handle_failure)
                last.is_returned = True
                return Outcome(last.load.choice, last.task.result())
            await self._handle(ended, handle_failure)

    async def _handle(
        self, failed: list[_Attempt], handle_failure: _FailureHandler
    ) -> None:
        """Records attempts that failed while another one goes on."""
        for attempt in failed:
            try:
                await handle_failure(
                    self._pending, attempt.load.choice, attempt.task.result()
                )
            except errors.RequestError:
                # The other attempt may have answered meanwhile.
                if not self._pending.exchange.started:
                    raise

    def _claim(self, load: pending_request.InFlightLoad) -> None:
        """Decides for an attempt and cancels the other one.

        The other task gets the cancellation before any data that its
        connection has received.
        """
        if self._winner is not None:
            return
        pending = self._pending
        pending.is_hedged = False
        for attempt in self._attempts:
            if attempt.load is load:
                self._winner = attempt
            elif not attempt.task.done():
                attempt.task.cancel()
                # Its endpoint may have run the request.
                pending.runs += 1
                pending.tried_endpoints.add(attempt.load.endpoint)
        is_first = self._winner is self._attempts[0]
        self._end_second(
            hedging.Result.LOST if is_first else hedging.Result.WON
        )

    def _end_second(self, result: hedging.Result) -> None:
        if self._has_open_second:
            self._has_open_second = False
            self._on_end(result)

    async def close(self) -> None:
        """Cancels the attempts that still run, and waits for their end."""
        self._pending.on_first_event = None
        self._pending.is_hedged = False
        self._end_second(hedging.Result.CANCELLED)
        for attempt in self._attempts:
            attempt.task.cancel()
        for attempt in self._attempts:
            await attempt.cancel()


def _has_answered(attempt: _Attempt) -> bool:
    result = attempt.task.result()
    return result.end is sending.AttemptEnd.ANSWERED


def _now() -> float:
    return asyncio.get_running_loop().time()
