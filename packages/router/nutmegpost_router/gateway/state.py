"""What a gateway knows, shared by its tasks within one event loop."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import random

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import crashes
from nutmegpost_core import dispatch
from nutmegpost_core import outliers
from nutmegpost_core import prefixes
from nutmegpost_core import retrybudget
from nutmegpost_core import roster
from nutmegpost_core import timeouts
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import settings

__all__ = ["State"]

# Failures of an endpoint in a row after which others are preferred.
_EJECT_AFTER = 3
_EJECTED_SHARE_MAX = 0.5
# Part of the failures so far that a success leaves: an endpoint that breaks a
# part of its answers is avoided, though the others succeed.
_KEPT_BY_SUCCESS = 0.7


class State:
    """Configuration, endpoints, loads, caches and budgets."""

    def __init__(self, config: settings.GatewaySettings):
        """Starts knowing nothing.

        Args:
            config: Settings of the gateway.
        """
        self._config = config
        self.catalog: catalog.Catalog | None = None
        self.document = b""
        self.roster = roster.Roster(config["entry_grace_s"])
        self.loads = loads.Loads()
        self.prefixes = prefixes.PrefixCaches()
        self.crashes = crashes.CrashCharges()
        self.outliers = outliers.OutlierDetector(
            eject_after_failures=_EJECT_AFTER,
            ejected_share_max=_EJECTED_SHARE_MAX,
            failure_decay=_KEPT_BY_SUCCESS,
        )
        self.budget = retrybudget.RetryBudget(
            retrybudget.FleetBudget(
                config["retry_ratio"],
                config["retry_extra"],
                config["retry_window_s"],
            )
        )
        self.rng = random.Random()
        self.fleet_size = 1
        # Whether the caches are known as well as running on makes them known.
        self.caches_known = config["first_start"]
        self._started: dict[str, int] = {}
        self.on_placement: Callable[[loads.Placement], None] = lambda _: None

    @property
    def config(self) -> settings.GatewaySettings:
        """Settings of this gateway."""
        return self._config

    def choose(
        self, call: calls.Call, avoid: Iterable[str]
    ) -> dispatch.Choice | None:
        """Chooses the endpoint of a request; see `dispatch.choose`."""
        now = asyncio.get_running_loop().time()
        service = self.catalog and self.catalog.services.get(call.service)
        policy = dispatch.Policy(
            load_multiple=self._config["load_multiple"],
            fetch_tokens_per_s=service.fetch_tokens_per_s if service else 0.0,
            tie_width_s=dispatch.tie_width_s(self.fleet_size),
        )
        return dispatch.choose(
            self.roster.usable(call.service),
            self.loads.total,
            self.prefixes,
            call.hints,
            self._config["zone"],
            now,
            policy,
            set(avoid),
            self.outliers.ejected(now),
            self.roster.draining(call.service),
        )

    def placed(self, call: calls.Call, choice: dispatch.Choice) -> None:
        """Notes that a prompt goes to an endpoint, and tells the peers."""
        shared = _shared(call)
        if not shared or call.hints is None:
            return
        endpoint = choice.endpoint.name
        known = self.prefixes.cached_tokens(endpoint, shared)
        self._touch(endpoint, call.hints.parts)
        if known < sum(part.tokens for part in shared):
            placement = loads.Placement(endpoint, choice.cost, shared)
            self._begin_reading(placement)
            self.on_placement(placement)

    def was_read(self, call: calls.Call, endpoint: str) -> None:
        """Notes that an endpoint has read the prompt of a request."""
        self.prefixes.finish_prefill(endpoint, _shared(call))

    def is_reading(self, call: calls.Call, endpoint: str) -> bool:
        """Returns whether an endpoint is reading most of the same prompt."""
        now = asyncio.get_running_loop().time()
        tokens = self.prefixes.prefilling_tokens(endpoint, _shared(call), now)
        return tokens >= timeouts.SHARED_PREFILL_TOKENS_MIN

    def told(self, news: loads.Told) -> None:
        """Takes in what a peer told beside its loads."""
        for placement in news.placements:
            known = self.prefixes.cached_tokens(
                placement.endpoint, placement.parts
            )
            if known < sum(part.tokens for part in placement.parts):
                self._begin_reading(placement)
            self._touch(placement.endpoint, placement.parts)
        for endpoint in news.down:
            self.endpoint_down(endpoint)
        now = asyncio.get_running_loop().time()
        for digest, endpoint in news.charges:
            self.crashes.charge(digest, endpoint, now)

    def endpoint_down(self, endpoint: str) -> None:
        """Notes that an endpoint refuses connections, so its cache is lost."""
        now = asyncio.get_running_loop().time()
        self.roster.mark_down(endpoint)
        self.prefixes.forget(endpoint)
        self.outliers.eject(endpoint, now)

    def learn_caches(
        self, caches: Mapping[str, Iterable[calls.PromptPart]]
    ) -> None:
        """Takes in what a peer knows of all caches."""
        self.caches_known = True
        for endpoint, parts in caches.items():
            self.learn_cache(endpoint, parts)

    def learn_cache(
        self, endpoint: str, parts: Iterable[calls.PromptPart]
    ) -> None:
        """Takes in what one endpoint has in its cache."""
        self._touch(endpoint, tuple(parts))

    def endpoints_changed(self) -> None:
        """Forgets what concerns endpoints that are gone or started again."""
        self.prefixes.retain(self.roster.names_with_cache())
        self.outliers.set_engines(set(self.roster.endpoints))
        for name, endpoint in self.roster.endpoints.items():
            started = self._started.get(name, endpoint.started_ms)
            if started != endpoint.started_ms:
                self.prefixes.forget(name)
        self._started = {
            name: endpoint.started_ms
            for name, endpoint in self.roster.endpoints.items()
        }

    def _begin_reading(self, placement: loads.Placement) -> None:
        now = asyncio.get_running_loop().time()
        self.prefixes.begin_prefill(
            placement.endpoint, placement.parts, now + placement.read_s
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


def _shared(call: calls.Call) -> tuple[calls.PromptPart, ...]:
    """Returns the parts of a prompt that other requests have as well."""
    return call.hints.parts[:-1] if call.hints else ()
