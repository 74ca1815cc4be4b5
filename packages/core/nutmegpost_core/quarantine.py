"""Quarantine of requests that crash engines.

Every request in flight on an engine that crashes becomes a suspect. The router
that dispatched it reports this to all others by gossip. Once the report has had
time to propagate, the suspect may run once more, alone on an engine: a trial.
A single router, chosen by rendezvous hashing, coordinates the trials of a
digest. If the trial succeeds, the request is cleared; if the engine crashes
again, every router refuses the request.

The state of an incident only advances, from TRIAL through CRASHED to CLEARED,
so routers converge in whatever order the reports arrive.
"""

from collections.abc import Collection, Iterable, Sequence
import enum
import hashlib
from typing import NamedTuple

import xxhash

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "CRASHES_MAX",
    "DIGEST_BYTES",
    "IncidentState",
    "Limits",
    "Quarantine",
    "Report",
    "IncidentReport",
    "Verdict",
    "trial_coordinator",
    "digest",
    "split_batch",
    "reaches_all_routers",
    "read_report",
]

CRASHES_MAX = 2
DIGEST_BYTES = 8
_ID_BYTES = 4
# The suspects of one crash share a report, under a digest of zeros.
_BATCH_DIGEST = bytes(DIGEST_BYTES)
_BATCH_MAX = 40


class Verdict(enum.StrEnum):
    """Whether and how a request may run.

    ALLOW: It runs without restriction.
    WAIT: It may not run yet; see `Quarantine.retry_after`.
    ALONE: The trial coordinator may start a trial.
    REFUSE: It crashed too many engines.
    """

    ALLOW = "allow"
    WAIT = "wait"
    ALONE = "alone"
    REFUSE = "refuse"


class Limits(NamedTuple):
    """Time limits and sizes.

    Attributes:
        propagation_s: Seconds within which a report reaches every router.
        trial_s: Time limit of a trial, seconds; one that is unresolved by
            then counts as a crash.
        suspect_s: Seconds for which an incident is stored.
        cleared_s: Seconds for which a cleared incident is stored.
        cancelled_s: Seconds for which a cancelled request may still be the
            cause of a crash.
        suspects_max: Most digests that are stored.
    """

    propagation_s: float = 5.0
    trial_s: float = 120.0
    suspect_s: float = 86_400.0
    cleared_s: float = 600.0
    cancelled_s: float = 5.0
    suspects_max: int = 50_000


class Report(NamedTuple):
    """A report to gossip to the other routers.

    Attributes:
        key: Gossip key.
        payload: Encoded content.
        lifetime_s: Seconds for which the report is valid.
    """

    key: bytes
    payload: bytes
    lifetime_s: float


class IncidentState(enum.IntEnum):
    """State of an incident; the highest reported state wins."""

    TRIAL = 1
    CRASHED = 2
    CLEARED = 3


class IncidentReport(NamedTuple):
    """A decoded report about one request.

    Attributes:
        digest: Digest of the request.
        engine: The engine that crashed or that runs the trial.
        state: State of the incident.
    """

    digest: bytes
    engine: str
    state: IncidentState


class _Incident(NamedTuple):
    state: IncidentState
    learned_at: float


_Incidents = dict[bytes, _Incident]


def digest(account: str, body: bytes) -> bytes:
    """Returns the digest that identifies a request and its retries."""
    head = f"{account}\n".encode()
    return hashlib.sha256(head + body).digest()[:DIGEST_BYTES]


def trial_coordinator(request_digest: bytes, routers: Sequence[str]) -> str:
    """Returns the router that coordinates the trials of a request.

    Args:
        request_digest: Digest of the request.
        routers: Names of the live routers; at least one.
    """

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(request_digest + name.encode()), name

    return max(routers, key=weight)


def split_batch(key: bytes, payload: bytes) -> list[tuple[bytes, bytes]]:
    """Splits the report of a crash into one report per suspect.

    Args:
        key: Gossip key of the report.
        payload: Encoded content.

    Returns:
        Keys and payloads for `Quarantine.apply_report`; a report of a single
        request is returned as is.
    """
    if not key.startswith(_BATCH_DIGEST):
        return [(key, payload)]
    incident = key[DIGEST_BYTES:-1]
    state, digests = payload[:1], payload[1:]
    return [
        (digests[start : start + DIGEST_BYTES] + incident, state)
        for start in range(0, len(digests), DIGEST_BYTES)
    ]


def read_report(key: bytes, payload: bytes) -> IncidentReport:
    """Decodes a report returned by `split_batch`.

    Raises:
        errors.PeerError: The report is malformed.
    """
    try:
        state = IncidentState(payload[0])
    except (IndexError, ValueError) as caught:
        raise errors.PeerError(f"malformed report state: {caught}") from caught
    if len(key) < DIGEST_BYTES + _ID_BYTES:
        raise errors.PeerError(f"report key too short: {len(key)} bytes")
    engine = key[DIGEST_BYTES + _ID_BYTES :].decode(errors="replace")
    return IncidentReport(key[:DIGEST_BYTES], engine, state)


def reaches_all_routers(
    listed_routers: Iterable[str], alive_routers: Collection[str]
) -> bool:
    """Whether every router of the VM list can be reached.

    Otherwise a router on the other side of a network partition might start a
    trial of the same request.

    Args:
        listed_routers: Names of the live routers in the VM list.
        alive_routers: Names of the routers alive in the membership.
    """
    return set(listed_routers) <= set(alive_routers)


class Quarantine:
    """Suspects, incidents and trials, as seen by one router."""

    def __init__(self, name: str = "", limits: Limits | None = None):
        """Creates a quarantine without suspects.

        Args:
            name: Name of this router.
            limits: Time limits and sizes.
        """
        self._name = name
        self._limits = limits or Limits()
        self._suspects: dict[bytes, _Incidents] = {}
        self._running: dict[str, dict[bytes, int]] = {}
        self._cancelled: dict[str, dict[bytes, float]] = {}
        self._isolated: dict[str, bytes] = {}
        self._reports: list[Report] = []
        self._all_reachable_since: float | None = None
        self._ended_trials: dict[bytes, bytes] = {}

    def __bool__(self) -> bool:
        # Without this, a quarantine without suspects would be falsy.
        return True

    def __len__(self) -> int:
        return len(self._suspects)

    def reports(self) -> list[Report]:
        """Returns the reports to publish, added since the last call."""
        reports, self._reports = self._reports, []
        return reports

    # Events at engines that this router dispatches to.

    def note_started(
        self, request_digest: bytes, engine: str, now: float
    ) -> None:
        """Records that a request is about to be sent to an engine."""
        running = self._running.setdefault(engine, {})
        if running or not self._has_active_incident(request_digest, now):
            self._isolated.pop(engine, None)
        else:
            self._isolated[engine] = request_digest
            self._ended_trials.pop(request_digest, None)
        running[request_digest] = running.get(request_digest, 0) + 1

    def note_finished(
        self, request_digest: bytes, engine: str, now: float
    ) -> None:
        """Records that a request was answered in full.

        A suspect that ran alone is cleared.
        """
        is_isolated = self._isolated.get(engine) == request_digest
        if self._remove_running(request_digest, engine) and is_isolated:
            self._end_trial(request_digest, engine, now)
            self._clear(request_digest, now)

    def note_cancelled(
        self, request_digest: bytes, engine: str, now: float
    ) -> None:
        """Records that a request was cancelled, which does not clear it.

        Call it after the engine has confirmed the cancellation. A crash within
        `Limits.cancelled_s` still counts against the request.
        """
        is_isolated = self._isolated.get(engine) == request_digest
        if self._remove_running(request_digest, engine):
            cancellations = self._cancelled.setdefault(engine, {})
            cancellations[request_digest] = now + self._limits.cancelled_s
        self._end_trial(request_digest, engine, now, is_isolated)

    def note_withdrawn(
        self, request_digest: bytes, engine: str, now: float
    ) -> None:
        """Records that no byte of a request can have reached the engine."""
        is_isolated = self._isolated.get(engine) == request_digest
        self._remove_running(request_digest, engine)
        self._end_trial(request_digest, engine, now, is_isolated)

    def note_engine_crashed(self, engine: str, now: float) -> list[bytes]:
        """Records the crash of an engine; not for one that is unreachable.

        Returns:
            Digests that were in flight and are now suspects.
        """
        suspects = set(self._running.pop(engine, {}))
        cancellations = self._cancelled.pop(engine, {})
        suspects |= {
            cancelled
            for cancelled, until in cancellations.items()
            if until > now
        }
        isolated = self._isolated.pop(engine, None)
        key = self._incident_key(engine, now)
        without_trial = [
            suspect
            for suspect in sorted(suspects)
            if self._open_trial(suspect) is None
        ]
        self._report_crash(without_trial, key)
        for request_digest in sorted(suspects):
            self._record_crash(request_digest, key, now)
        if isolated is not None:
            self._end_trial(isolated, engine, now)
        return sorted(suspects)

    def is_reserved(self, engine: str) -> bool:
        """Whether an engine runs a suspect alone, so no request may join."""
        return engine in self._isolated

    # Reports of other routers.

    def record_remote_crashes(
        self, request_digest: bytes, count: int, engine: str, now: float
    ) -> list[str]:
        """Records crashes of an engine that ran a request.

        Args:
            request_digest: Digest of the request.
            count: Number of crashes of the engine.
            engine: The engine.
            now: Monotonic time in seconds.

        Returns:
            Engines at which the request must be cancelled; see
            `exposed_engines`.
        """
        for number in range(count):
            key = number.to_bytes(_ID_BYTES, "big") + engine.encode()
            self._update(request_digest, key, IncidentState.CRASHED, now)
        return self.exposed_engines(request_digest)

    def apply_report(self, key: bytes, payload: bytes, now: float) -> list[str]:
        """Applies a report of another router.

        Returns:
            Engines at which the request must be cancelled; see
            `exposed_engines`.

        Raises:
            errors.PeerError: The report is malformed.
        """
        request_digest, _, state = read_report(key, payload)
        incident = key[DIGEST_BYTES:]
        self._update(request_digest, incident, state, now)
        ended_on = self._ended_trials.get(request_digest)
        current_state = self._suspects[request_digest][incident].state
        if (
            current_state is IncidentState.TRIAL
            and ended_on == incident[_ID_BYTES:]
        ):
            # The trial ended on this router before its report arrived.
            self._update_and_report(
                request_digest, incident, IncidentState.CLEARED, now
            )
        return self.exposed_engines(request_digest)

    # Decisions.

    def verdict(self, request_digest: bytes, now: float) -> Verdict:
        """Returns whether and how a request may run now."""
        incidents = self._active_incidents(request_digest, now)
        if not incidents:
            return Verdict.ALLOW
        if self._count_crashes(incidents, now) >= CRASHES_MAX:
            return Verdict.REFUSE
        if self._wait_until(incidents) > now:
            return Verdict.WAIT
        return Verdict.ALONE

    def retry_after(self, request_digest: bytes, now: float) -> float:
        """Returns the seconds until the verdict is no longer WAIT."""
        return max(
            0.0,
            self._wait_until(self._active_incidents(request_digest, now)) - now,
        )

    def note_reachability(self, reaches_all: bool, now: float) -> None:
        """Records whether this router can reach all others.

        Args:
            reaches_all: Whether `reaches_all_routers` holds and the membership
                view is not in doubt.
            now: Monotonic time in seconds.
        """
        if not reaches_all:
            self._all_reachable_since = None
        elif self._all_reachable_since is None:
            self._all_reachable_since = now

    def begin_trial(
        self, request_digest: bytes, engine: str, now: float
    ) -> Verdict:
        """Starts a trial; only the trial coordinator may call this.

        After a network partition, all routers must have been reachable for as
        long as reports from the other side take to propagate.

        Args:
            request_digest: Digest of the request.
            engine: Engine without requests in flight.
            now: Monotonic time in seconds.

        Returns:
            ALONE when the trial may start once its report is published;
            otherwise the verdict that forbids it.
        """
        verdict = self.verdict(request_digest, now)
        if verdict is not Verdict.ALONE:
            return verdict
        reachable_since = self._all_reachable_since
        if (
            reachable_since is None
            or now < reachable_since + self._limits.propagation_s
        ):
            return Verdict.WAIT
        key = self._incident_key(engine, now)
        self._update_and_report(request_digest, key, IncidentState.TRIAL, now)
        return Verdict.ALONE

    def expire(self, now: float) -> None:
        """Drops expired incidents and cancellations."""
        for request_digest in list(self._suspects):
            incidents = self._suspects[request_digest]
            for key, incident in list(incidents.items()):
                if incident.learned_at + self._lifetime(incident.state) <= now:
                    del incidents[key]
            if not incidents:
                del self._suspects[request_digest]
                self._ended_trials.pop(request_digest, None)
        for engine, cancellations in list(self._cancelled.items()):
            unexpired = {
                cancelled: until
                for cancelled, until in cancellations.items()
                if until > now
            }
            self._cancelled[engine] = unexpired
            if not unexpired:
                del self._cancelled[engine]

    # Incidents.

    def _active_incidents(
        self, request_digest: bytes, now: float
    ) -> _Incidents:
        incidents = self._suspects.get(request_digest)
        if incidents is None:
            return {}
        return {
            key: incident
            for key, incident in incidents.items()
            if incident.state is not IncidentState.CLEARED
            and incident.learned_at + self._limits.suspect_s > now
        }

    def _has_active_incident(self, request_digest: bytes, now: float) -> bool:
        return bool(self._active_incidents(request_digest, now))

    def _count_crashes(self, incidents: _Incidents, now: float) -> int:
        limit = self._limits.trial_s
        return sum(
            incident.state is IncidentState.CRASHED
            or incident.learned_at + limit <= now
            for incident in incidents.values()
        )

    def _wait_until(self, incidents: _Incidents) -> float:
        return max(
            (
                incident.learned_at
                + (
                    self._limits.trial_s
                    if incident.state is IncidentState.TRIAL
                    else self._limits.propagation_s
                )
                for incident in incidents.values()
            ),
            default=0.0,
        )

    def _report_crash(self, request_digests: list[bytes], key: bytes) -> None:
        for start in range(0, len(request_digests), _BATCH_MAX):
            batch = request_digests[start : start + _BATCH_MAX]
            number = bytes([start // _BATCH_MAX % 256])
            payload = bytes([IncidentState.CRASHED]) + b"".join(batch)
            lifetime = self._limits.suspect_s
            self._reports.append(
                Report(_BATCH_DIGEST + key + number, payload, lifetime)
            )

    def _record_crash(
        self, request_digest: bytes, key: bytes, now: float
    ) -> None:
        trial = self._open_trial(request_digest)
        if trial is None:
            self._update(request_digest, key, IncidentState.CRASHED, now)
        else:
            self._update_and_report(
                request_digest, trial, IncidentState.CRASHED, now
            )
        crashes = self._count_crashes(
            self._active_incidents(request_digest, now), now
        )
        invariants.check(
            crashes <= CRASHES_MAX,
            events.ENGINES_CRASHED,
            digest=request_digest.hex(),
            crashes=crashes,
        )

    def _clear(self, request_digest: bytes, now: float) -> None:
        for key in self._active_incidents(request_digest, now):
            self._update_and_report(
                request_digest, key, IncidentState.CLEARED, now
            )

    def _end_trial(
        self,
        request_digest: bytes,
        engine: str,
        now: float,
        is_isolated: bool = True,
    ) -> None:
        key = self._open_trial(request_digest)
        if key is not None and key[_ID_BYTES:] == engine.encode():
            self._update_and_report(
                request_digest, key, IncidentState.CLEARED, now
            )
        elif key is None and is_isolated and request_digest in self._suspects:
            # The report of this trial has not arrived yet.
            self._ended_trials[request_digest] = engine.encode()

    def _open_trial(self, request_digest: bytes) -> bytes | None:
        for key, incident in self._suspects.get(request_digest, {}).items():
            if incident.state is IncidentState.TRIAL:
                return key
        return None

    def _update_and_report(
        self,
        request_digest: bytes,
        key: bytes,
        state: IncidentState,
        now: float,
    ) -> None:
        self._update(request_digest, key, state, now)
        lifetime = self._lifetime(state)
        self._reports.append(
            Report(request_digest + key, bytes([state]), lifetime)
        )

    def _update(
        self,
        request_digest: bytes,
        key: bytes,
        state: IncidentState,
        now: float,
    ) -> None:
        if request_digest not in self._suspects:
            self._evict_if_full()
        incidents = self._suspects.setdefault(request_digest, {})
        current = incidents.get(key)
        if current is None or current.state < state:
            incidents[key] = _Incident(state, now)

    def _evict_if_full(self) -> None:
        if len(self._suspects) >= self._limits.suspects_max:
            # Dictionaries iterate in insertion order: the first is the oldest.
            oldest = next(iter(self._suspects))
            del self._suspects[oldest]
            self._ended_trials.pop(oldest, None)

    def _lifetime(self, state: IncidentState) -> float:
        if state is IncidentState.CLEARED:
            return self._limits.cleared_s
        return self._limits.suspect_s

    def _incident_key(self, engine: str, now: float) -> bytes:
        text = f"{self._name}/{engine}/{now}"
        number = xxhash.xxh32_digest(text.encode())
        return number + engine.encode()

    # Requests in flight.

    def _remove_running(self, request_digest: bytes, engine: str) -> bool:
        running = self._running.get(engine, {})
        count = running.get(request_digest, 0)
        if count == 0:
            return False
        if count > 1:
            running[request_digest] = count - 1
        else:
            del running[request_digest]
        if not running:
            self._running.pop(engine, None)
            self._isolated.pop(engine, None)
        return True

    def exposed_engines(self, request_digest: bytes) -> list[str]:
        """Returns the engines where this router runs a suspect outside a trial.

        The suspect must be cancelled there, also when this router itself
        detected the crash.
        """
        incidents = self._suspects.get(request_digest, {}).values()
        if all(
            incident.state is IncidentState.CLEARED for incident in incidents
        ):
            return []
        return sorted(
            engine
            for engine, running in self._running.items()
            if request_digest in running
            and self._isolated.get(engine) != request_digest
        )
