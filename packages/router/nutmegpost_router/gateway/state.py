"""State of a gateway, shared by the tasks of its event loop."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
import functools
import math
import random

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import dispatch
from nutmegpost_core import endpoint_notices
from nutmegpost_core import endpoint_speeds
from nutmegpost_core import evacuations
from nutmegpost_core import events
from nutmegpost_core import hedging
from nutmegpost_core import liveness
from nutmegpost_core import load_table
from nutmegpost_core import outliers
from nutmegpost_core import prefill
from nutmegpost_core import prefixes
from nutmegpost_core import ratelimits
from nutmegpost_core import retrybudget
from nutmegpost_core import roster
from nutmegpost_core import software_versions
from nutmegpost_core import timeouts
from nutmegpost_router import log
from nutmegpost_router.gateway import cold_endpoints
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import settings

__all__ = ["State"]

# Weighted failures after which an endpoint is ejected.
_EJECT_AFTER_FAILURES = 3
_EJECTED_SHARE_MAX = 0.5
# Factor applied to the failure count on each success. Above 0, so that an
# endpoint that fails only part of its requests is ejected too.
_FAILURE_DECAY = 0.7

_RateLimitCallback = Callable[[str, float | None], None]


class State:
    """Configuration, endpoints, loads, caches and budgets."""

    def __init__(self, config: settings.GatewaySettings, started: float):
        """Creates the state of a gateway that has read nothing yet.

        Args:
            config: Settings of the gateway.
            started: Monotonic time at which the process started, seconds.
        """
        self._config = config
        self._started = started
        self.catalog: catalog.Catalog | None = None
        self.document = b""
        self.roster = roster.Roster(config["entry_grace_s"])
        # Monotonic time at which the entries of endpoints were last read.
        self.directory_read_at = -math.inf
        self.evacuations = evacuations.Evacuations(
            config.get("evacuation_limit_ms", 0) / 1000
        )
        # Monotonic time at which the platform last confirmed the entries, to
        # this gateway or to a reader that it follows.
        self.directory_confirmed_at = -math.inf
        # Monotonic time of the last gap in the history of versions.
        self.versions_gap_at = -math.inf
        self.versions = software_versions.VersionHistory(config["first_start"])
        self.loads = load_table.LoadTable()
        self.speeds = endpoint_speeds.EndpointSpeeds()
        self.latencies = hedging.Latencies()
        self.prefixes = prefixes.PrefixCaches()
        self.outliers = outliers.OutlierDetector(
            eject_after_failures=_EJECT_AFTER_FAILURES,
            ejected_share_max=_EJECTED_SHARE_MAX,
            failure_decay=_FAILURE_DECAY,
        )
        self.liveness = liveness.LivenessDetector(self._handle_silence)
        self.budget = retrybudget.RetryBudget(
            retrybudget.FleetBudget(
                config["retry_ratio"],
                config["retry_extra"],
                config["retry_window_s"],
            ),
            retrybudget.extra_from(
                started,
                config["retry_window_s"],
                config["first_start"],
                bool(set(config["seeds"]) - {config["control_address"]}),
            ),
        )
        self.rng = random.Random()
        self.fleet_size = 1
        # Number of gateways that share the fixed part of the retry budget.
        self.retry_sharers = 1
        # Whether the prefix cache estimates are as complete as those of a
        # gateway that has been running. On the first start of the system all
        # caches are empty.
        self.caches_synced = config["first_start"]
        self._started_ms: dict[str, int] = {}
        self.rate_limits = ratelimits.EndpointLimits(config["name"])
        self.cold = cold_endpoints.ColdEndpoints(config, self.rate_limits)
        self.notices = endpoint_notices.EndpointNotices()
        self._prefill_rates: dict[str, prefill.PrefillRate] = {}
        self.on_placement: Callable[[loads.Placement], None] = lambda _: None
        # Called with the name of an endpoint and the limit that it named.
        self.on_rate_limit: _RateLimitCallback = lambda *_: None
        # Called when an endpoint falls silent.
        self.on_silence: Callable[[], None] = lambda: None
        # Called with an endpoint that said that it leaves.
        self.on_leaving: Callable[[roster.Endpoint], None] = lambda _: None

    @property
    def config(self) -> settings.GatewaySettings:
        """Settings of this gateway."""
        return self._config

    @property
    def started(self) -> float:
        """Monotonic time at which the process started, seconds."""
        return self._started

    @property
    def can_evacuate(self) -> bool:
        """Whether zones of this deployment can be evacuated."""
        return self._config.get("evacuation_limit_ms", 0) > 0

    def ready_endpoints(self) -> list[roster.Endpoint]:
        """Returns the endpoints of configured services that take requests."""
        if self.catalog is None:
            return []
        return [
            endpoint
            for service in self.catalog.services
            for endpoint in self.usable(service)
        ]

    def usable(self, service: str) -> list[roster.Endpoint]:
        """Returns the endpoints of a service that may get requests."""
        return self._outside_evacuations(self.roster.usable(service))

    def _outside_evacuations(
        self, endpoints: list[roster.Endpoint]
    ) -> list[roster.Endpoint]:
        if not self.evacuations.zones:
            return endpoints
        return [each for each in endpoints if self.may_send(each)]

    def may_send(self, endpoint: roster.Endpoint) -> bool:
        """Returns whether the zone of an endpoint is not evacuated."""
        return not self.evacuations.is_evacuated(endpoint.zone)

    def may_fetch(self, endpoint: roster.Endpoint) -> bool:
        """Returns whether other endpoints may fetch from its cache."""
        now = asyncio.get_running_loop().time()
        return self.evacuations.may_fetch(endpoint.zone, now)

    def is_evacuated(self, service: str) -> bool:
        """Returns whether all endpoints of a service are in such zones."""
        usable = self.roster.usable(service)
        return bool(usable) and not self._outside_evacuations(usable)

    def _cache_sources(self, service: str) -> list[roster.Endpoint]:
        """Returns the endpoints that serve only fetches from their caches."""
        draining = self.roster.draining(service)
        if not self.evacuations.zones:
            return draining
        usable = self.roster.usable(service)
        return [
            each
            for each in (
                *draining,
                *(each for each in usable if not self.may_send(each)),
            )
            if self.may_fetch(each)
        ]

    def choose(
        self,
        call: calls.Call,
        excluded: Iterable[str],
        software: str | None = None,
    ) -> dispatch.Choice | None:
        """Chooses the endpoint of a request; see `dispatch.choose`.

        Args:
            call: The request.
            excluded: Names of endpoints already tried for it.
            software: The only software version that can run it; None for any.
        """
        now = asyncio.get_running_loop().time()
        service: catalog.Service | None = None
        if self.catalog is not None:
            service = self.catalog.services.get(call.service)
        policy = dispatch.Policy(
            load_multiple=self._config["load_multiple"],
            prefill_tokens_per_s=self._prefill_rate(call.service).tokens_per_s,
            fetch_tokens_per_s=service.fetch_tokens_per_s if service else 0.0,
            tie_width_s=dispatch.tie_width_s(self.fleet_size),
            cold_start_s=self.cold.ramp_s(service),
        )
        usable = self.cold.update(self.usable(call.service), service, now)
        slowdowns = self.speeds.slowdowns(
            [endpoint.name for endpoint in usable], now
        )
        if slowdowns:
            policy = policy._replace(
                delayed_work_s=self.speeds.delayed_work_s(call.service)
            )
        uncertain: set[str] = set()
        if call.route.resumable:
            uncertain = self.versions.uncertain(usable, now)
        choose = functools.partial(
            dispatch.choose,
            usable,
            self.loads.total,
            self.prefixes,
            call.hints,
            self._config["zone"],
            now,
            policy,
            {
                *excluded,
                *(
                    endpoint.name
                    for endpoint in usable
                    if software is not None
                    and (
                        endpoint.software != software
                        or endpoint.name in uncertain
                    )
                ),
            },
            self.outliers.ejected(now)
            | self.liveness.avoided(call.route.repeatable, now)
            | uncertain,
            self._cache_sources(call.service),
            call.route.target_s,
            speeds=dispatch.Speeds(slowdowns, self.rng) if slowdowns else None,
        )
        closed = self._closed([endpoint.name for endpoint in usable], now)
        avoided = self.cold.avoided(usable, now)
        if avoided:
            choice = choose(exhausted=closed | avoided)
            if choice is not None and choice.has_free_slot:
                return choice
        return choose(exhausted=closed)

    def _closed(self, endpoints: Collection[str], now: float) -> set[str]:
        """Returns the endpoints to which this gateway may not send now."""
        return self.rate_limits.exhausted(endpoints, now) | self.notices.closed(
            endpoints, now
        )

    def is_closed(self, endpoint: str) -> bool:
        """Returns whether this gateway may not send to an endpoint now."""
        now = asyncio.get_running_loop().time()
        entry = self.roster.endpoints.get(endpoint)
        if entry is not None and not self.may_send(entry):
            return True
        return bool(self._closed([endpoint], now))

    def is_open(self, endpoint: roster.Endpoint) -> bool:
        """Returns whether an endpoint takes requests, apart from its limit."""
        now = asyncio.get_running_loop().time()
        return any(
            endpoint.name == other.name
            for other in self.usable(endpoint.service)
        ) and not self.notices.closed([endpoint.name], now)

    def return_after_s(self, service: str) -> float | None:
        """Returns when the caller of a refused request should return.

        Returns:
            Seconds, or None if it is not known when an endpoint of the service
            takes requests again.
        """
        now = asyncio.get_running_loop().time()
        names = {endpoint.name for endpoint in self.usable(service)}
        if not names or self._closed(names, now) != names:
            return None
        limited = names - self.notices.closed(names, now)
        if limited:
            return self.rate_limits.return_after_s(service, limited, now)
        return self.notices.return_after_s(service, names, now)

    def record_leaving(self, endpoint: roster.Endpoint) -> None:
        """Records that an endpoint said in an answer that it leaves."""
        if self.notices.record_leaving(endpoint.name, endpoint.started_ms):
            log.emit(
                events.ENDPOINT_LEAVES,
                endpoint=endpoint.name,
                source="its answer",
            )
            self.on_leaving(endpoint)

    def apply_peer_leaving(self, name: str, started_ms: int) -> None:
        """Records that an endpoint told a peer that it leaves."""
        entry = self.roster.endpoints.get(name)
        if entry is None or entry.started_ms != started_ms:
            return
        if self.notices.record_leaving(name, started_ms):
            log.emit(events.ENDPOINT_LEAVES, endpoint=name, source="a peer")

    def record_pause(
        self, endpoint: roster.Endpoint, text: str, request: str
    ) -> None:
        """Records that an endpoint asked this gateway for a pause.

        Args:
            endpoint: The endpoint.
            text: The time that it asked for, seconds.
            request: Identity of the request that it refused, for the log.
        """
        now = asyncio.get_running_loop().time()
        seconds = _parse_pause_s(text)
        if seconds is None:
            log.emit(
                events.ENDPOINT_HEADER_REFUSED,
                endpoint=endpoint.name,
                text=text[:40],
            )
            return
        if self.notices.record_pause(
            endpoint.name, endpoint.started_ms, now + seconds, now
        ):
            log.emit(
                events.ENDPOINT_PAUSED,
                endpoint=endpoint.name,
                seconds=seconds,
                request=request,
            )

    def record_dispatch(
        self, call: calls.Call, choice: dispatch.Choice
    ) -> None:
        """Records that a request is sent to an endpoint.

        Informs the peers of its prompt.

        A prompt whose shared parts are all cached there already needs no
        notice to the peers.
        """
        now = asyncio.get_running_loop().time()
        self.rate_limits.record_sent(choice.endpoint.name, now)
        shared = call.shared_parts
        if not shared or call.hints is None:
            return
        endpoint = choice.endpoint.name
        cached_tokens = self.prefixes.cached_tokens(endpoint, shared)
        self._touch(endpoint, call.hints.parts)
        if cached_tokens < sum(part.tokens for part in shared):
            placement = loads.Placement(endpoint, choice.cost, shared)
            self._begin_prefill(placement)
            self.on_placement(placement)

    def record_prefilled(
        self, call: calls.Call, choice: dispatch.Choice, first_event_s: float
    ) -> None:
        """Records that an endpoint has prefilled the prompt of a request.

        Args:
            call: The request.
            choice: The endpoint.
            first_event_s: Time from the dispatch to the first event, seconds.
        """
        self.prefixes.finish_prefill(choice.endpoint.name, call.shared_parts)
        if call.hints is not None and not (
            choice.source or choice.speculative_source
        ):
            self._prefill_rate(call.service).record_answer(
                first_event_s, call.hints.prompt_tokens - choice.cached_tokens
            )

    def record_rate_limit(
        self, endpoint: str, requests_per_s: float | None
    ) -> None:
        """Records the limit that an endpoint named in an answer.

        Args:
            endpoint: Name of the endpoint.
            requests_per_s: Requests per second that it takes from all
                gateways together; None if it named no limit.
        """
        if self.apply_peer_rate_limit(endpoint, requests_per_s):
            self.on_rate_limit(endpoint, requests_per_s)

    def apply_peer_rate_limit(
        self, endpoint: str, requests_per_s: float | None
    ) -> bool:
        """Applies the limit that an endpoint named to a peer.

        Returns:
            Whether it was news here.
        """
        now = asyncio.get_running_loop().time()
        if not self.rate_limits.record(endpoint, requests_per_s, now):
            return False
        if requests_per_s is None:
            log.emit(events.ENDPOINT_UNLIMITED, endpoint=endpoint)
        else:
            log.emit(
                events.ENDPOINT_LIMITED,
                endpoint=endpoint,
                requests_per_s=requests_per_s,
            )
        return True

    def record_speed(
        self, endpoint: roster.Endpoint, report: endpoint_speeds.Report
    ) -> bool:
        """Records what an endpoint said of its slots and its speed.

        Returns:
            Whether the figure of its speed is valid, or there is none.
        """
        now = asyncio.get_running_loop().time()
        if report.slots is not None:
            self.speeds.record_slots(endpoint.name, report.slots)
        if not report.speed_text:
            return True
        percent = endpoint_speeds.parse_percent(report.speed_text)
        if percent is not None and self.speeds.record(
            endpoint.name, endpoint.service, percent, now
        ):
            return True
        if self.speeds.record_refused(endpoint.name):
            log.emit(
                events.ENDPOINT_SPEED_REFUSED,
                endpoint=endpoint.name,
                text=report.speed_text[:40],
            )
        return False

    def record_duration(
        self, call: calls.Call, endpoint: str, seconds: float
    ) -> None:
        """Records how long a successful attempt took.

        Args:
            call: The request.
            endpoint: Name of the endpoint.
            seconds: Time to the complete answer, or to the first event of a
                stream.
        """
        now = asyncio.get_running_loop().time()
        self.speeds.record_duration(endpoint, call.service, seconds, now)
        if self._config.get("hedge_ratio", 0.0) > 0:
            self.latencies.record(call.route.name, call.service, seconds)

    def apply_peer_speed(
        self, endpoint: str, figure: endpoint_speeds.Figure
    ) -> None:
        """Records a figure of an endpoint that a peer passed on."""
        entry = self.roster.endpoints.get(endpoint)
        if entry is not None:
            self.speeds.record(endpoint, entry.service, *figure)

    def _prefill_rate(self, service: str) -> prefill.PrefillRate:
        return self._prefill_rates.setdefault(service, prefill.PrefillRate())

    def is_prefilling(self, call: calls.Call, endpoint: str) -> bool:
        """Returns whether an endpoint is prefilling much of the same prompt."""
        now = asyncio.get_running_loop().time()
        tokens = self.prefixes.prefilling_tokens(
            endpoint, call.shared_parts, now
        )
        return tokens >= timeouts.SHARED_PREFILL_TOKENS_MIN

    def apply_peer_update(self, update: loads.PeerUpdate) -> None:
        """Applies placements and down endpoints sent by a peer."""
        for placement in update.placements:
            cached_tokens = self.prefixes.cached_tokens(
                placement.endpoint, placement.parts
            )
            if cached_tokens < sum(part.tokens for part in placement.parts):
                self._begin_prefill(placement)
            self._touch(placement.endpoint, placement.parts)
        for endpoint in update.down:
            self.mark_endpoint_down(endpoint)

    def mark_endpoint_down(self, endpoint: str) -> None:
        """Records that an endpoint refuses connections and lost its cache."""
        now = asyncio.get_running_loop().time()
        listed = self.roster.endpoints.get(endpoint)
        if listed is not None:
            self.versions.record_down(listed, now)
        self.roster.mark_down(endpoint)
        self.prefixes.forget(endpoint)
        self.outliers.eject(endpoint, now)

    def merge_caches(
        self, caches: Mapping[str, Iterable[calls.PromptPart]]
    ) -> None:
        """Merges the cache estimates of a peer and marks them as synced."""
        self.caches_synced = True
        for endpoint, parts in caches.items():
            self.merge_cache(endpoint, parts)

    def merge_cache(
        self, endpoint: str, parts: Iterable[calls.PromptPart]
    ) -> None:
        """Merges the cached parts of one endpoint into the estimate."""
        self._touch(endpoint, tuple(parts))

    def remove_stale_endpoints(self) -> None:
        """Discards the data of endpoints that were removed or restarted."""
        self.prefixes.retain(self.roster.names_with_cache())
        self.outliers.set_engines(set(self.roster.endpoints))
        self.liveness.retain(set(self.roster.endpoints))
        self.notices.retain(self.roster.endpoints)
        self.speeds.retain(self.roster.endpoints)
        for name, endpoint in self.roster.endpoints.items():
            started_ms = self._started_ms.get(name, endpoint.started_ms)
            if started_ms != endpoint.started_ms:
                self.prefixes.forget(name)
        self._started_ms = {
            name: endpoint.started_ms
            for name, endpoint in self.roster.endpoints.items()
        }

    def _handle_silence(self, silence: liveness.Silence) -> None:
        _log_silence(silence)
        self.on_silence()

    def _begin_prefill(self, placement: loads.Placement) -> None:
        now = asyncio.get_running_loop().time()
        self.prefixes.begin_prefill(
            placement.endpoint, placement.parts, now + placement.prefill_s
        )

    def _touch(
        self, endpoint: str, parts: tuple[calls.PromptPart, ...]
    ) -> None:
        entry = self.roster.endpoints.get(endpoint)
        if entry is None or self.catalog is None:
            return
        service = self.catalog.services.get(entry.service)
        if service is not None and service.cache_tokens:
            self.prefixes.touch(endpoint, parts, service.cache_tokens)


def _parse_pause_s(text: str) -> float | None:
    """Returns seconds; None if the text is no positive number of them."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 < seconds < math.inf else None


def _log_silence(silence: liveness.Silence) -> None:
    log.emit(
        events.ENDPOINT_SILENT,
        endpoint=silence.endpoint,
        silent_ms=round(silence.silent_s * 1000),
        usual_ms=round(silence.usual_s * 1000),
        open=silence.open_requests,
    )
