"""What a gateway knows, shared by its tasks within one event loop."""

import asyncio
from collections.abc import Callable, Iterable
import random

from nutmegpost_core import calls
from nutmegpost_core import catalog
from nutmegpost_core import crashes
from nutmegpost_core import dispatch
from nutmegpost_core import outliers
from nutmegpost_core import prefixes
from nutmegpost_core import retrybudget
from nutmegpost_core import roster
from nutmegpost_router.gateway import loads
from nutmegpost_router.gateway import settings

__all__ = ["State"]

# Failures of an endpoint in a row after which others are preferred.
_EJECT_AFTER = 3
_EJECTED_SHARE_MAX = 0.5


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
        self.prefixes = prefixes.Prefixes()
        self.crashes = crashes.Crashes()
        self.outliers = outliers.Outliers(
            eject_after=_EJECT_AFTER, share_max=_EJECTED_SHARE_MAX
        )
        self.budget = retrybudget.RetryBudget(
            retrybudget.Terms(
                config["retry_ratio"],
                config["retry_extra"],
                config["retry_window_s"],
            )
        )
        self.rng = random.Random()
        self.fleet_size = 1
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
        policy = dispatch.Policy(load_multiple=self._config["load_multiple"])
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
        )

    def placed(self, call: calls.Call, choice: dispatch.Choice) -> None:
        """Notes that a prompt goes to an endpoint, and tells the peers."""
        hints = call.hints
        if hints is None or not hints.parts:
            return
        endpoint = choice.endpoint.name
        shared = hints.parts[:-1]
        known = self.prefixes.cached(endpoint, shared)
        self._touch(endpoint, hints.parts)
        if known < sum(part.tokens for part in shared):
            self.on_placement(loads.Placement(endpoint, shared))

    def placed_by_peer(self, placement: loads.Placement) -> None:
        """Notes a placement that a peer told of."""
        if placement.endpoint in self.roster.endpoints:
            self._touch(placement.endpoint, placement.parts)

    def endpoints_changed(self) -> None:
        """Forgets what concerns endpoints that are gone."""
        names = set(self.roster.endpoints)
        self.prefixes.keep(names)
        self.outliers.set_engines(names)

    def _touch(self, endpoint: str, parts: tuple[calls.Part, ...]) -> None:
        entry = self.roster.endpoints.get(endpoint)
        if entry is None or self.catalog is None:
            return
        service = self.catalog.services.get(entry.service)
        if service is not None and service.cache_tokens:
            self.prefixes.touch(endpoint, parts, service.cache_tokens)
