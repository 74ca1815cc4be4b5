"""Which requests may run after an engine crashed with them.

Every request that was in flight on an engine as it crashed is a suspect. The
fleet is told of it, and after the time that this takes the suspect may run
once more, alone on an engine: a trial. One router decides on the trials of a
digest. When the trial ends well, the request is cleared; when the engine
crashes again, the request is refused everywhere.

The incidents of a digest spread as rumours. An incident passes from TRIAL
over CRASHED to CLEARED and never back, so routers agree whatever the order in
which they hear of it.
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
    "Suspicion",
    "Verdict",
    "decider",
    "digest",
    "expand",
    "is_whole",
    "read_report",
]

CRASHES_MAX = 2
DIGEST_BYTES = 8
_ID_BYTES = 4
# The suspects of one crash are told together, under a digest of zeros.
_BATCH = bytes(DIGEST_BYTES)
_BATCH_MAX = 40


class Verdict(enum.StrEnum):
    """What may be done with a request.

    ALLOW: It runs like any other.
    WAIT: It may not run yet; see `Quarantine.retry_after`.
    ALONE: The deciding router may start a trial.
    REFUSE: It crashed too many engines.
    """

    ALLOW = "allow"
    WAIT = "wait"
    ALONE = "alone"
    REFUSE = "refuse"


class Limits(NamedTuple):
    """Times and sizes.

    Attributes:
        spread_s: Seconds within which every router hears of an incident.
        trial_s: Longest time of a trial; one that is not resolved by then
            counts as a crash.
        suspect_s: Seconds for which an incident is remembered.
        cleared_s: Seconds for which a cleared incident is remembered.
        cancelled_s: Seconds for which a cancelled request may still be the
            cause of a crash.
        suspects_max: Digests that are remembered.
    """

    spread_s: float = 5.0
    trial_s: float = 120.0
    suspect_s: float = 86_400.0
    cleared_s: float = 600.0
    cancelled_s: float = 5.0
    suspects_max: int = 50_000


class Report(NamedTuple):
    """What other routers must hear, as a rumour.

    Attributes:
        key: Key of the rumour.
        payload: Its content.
        lifetime_s: Seconds for which it matters.
    """

    key: bytes
    payload: bytes
    lifetime_s: float


class IncidentState(enum.IntEnum):
    """State of an incident; a report of a later state wins."""

    TRIAL = 1
    CRASHED = 2
    CLEARED = 3


class Suspicion(NamedTuple):
    """What a report says.

    Attributes:
        digest: The request.
        engine: The engine that crashed, or that a trial is for.
        state: State of the incident.
    """

    digest: bytes
    engine: str
    state: IncidentState


class _Incident(NamedTuple):
    state: IncidentState
    learned: float


_Incidents = dict[bytes, _Incident]


def digest(account: str, body: bytes) -> bytes:
    """Returns what identifies a request, whoever sends it again."""
    head = f"{account}\n".encode()
    return hashlib.sha256(head + body).digest()[:DIGEST_BYTES]


def decider(request: bytes, routers: Sequence[str]) -> str:
    """Returns the router that decides on trials of a digest.

    Args:
        request: The digest.
        routers: The routers that are alive; at least one.
    """

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(request + name.encode()), name

    return max(routers, key=weight)


def expand(key: bytes, payload: bytes) -> list[tuple[bytes, bytes]]:
    """Splits the rumour of a crash into one report for each suspect.

    Args:
        key: Key of a rumour.
        payload: Its content.

    Returns:
        Keys and payloads for `Quarantine.learn_report`.
    """
    if not key.startswith(_BATCH):
        return [(key, payload)]
    incident = key[DIGEST_BYTES:-1]
    state, digests = payload[:1], payload[1:]
    return [
        (digests[start : start + DIGEST_BYTES] + incident, state)
        for start in range(0, len(digests), DIGEST_BYTES)
    ]


def read_report(key: bytes, payload: bytes) -> Suspicion:
    """Reads a report that `expand` gave.

    Raises:
        errors.PeerError: It is no report.
    """
    try:
        state = IncidentState(payload[0])
    except (IndexError, ValueError) as caught:
        raise errors.PeerError(f"not a report: {caught}") from caught
    if len(key) < DIGEST_BYTES + _ID_BYTES:
        raise errors.PeerError(f"report with a key of {len(key)} bytes")
    engine = key[DIGEST_BYTES + _ID_BYTES :].decode(errors="replace")
    return Suspicion(key[:DIGEST_BYTES], engine, state)


def is_whole(listed: Iterable[str], alive: Collection[str]) -> bool:
    """Whether every router of the VM list can be reached.

    Only then can no other router be starting a trial of the same request on
    the far side of a partition.

    Args:
        listed: Names of the routers that the VM list calls live.
        alive: Names of the members that are alive.
    """
    return set(listed) <= set(alive)


class Quarantine:
    """What one router knows of requests that crash engines."""

    def __init__(self, name: str = "", limits: Limits | None = None):
        """Starts with no suspect.

        Args:
            name: Name of this router.
            limits: Times and sizes.
        """
        self._name = name
        self._limits = limits or Limits()
        self._suspects: dict[bytes, _Incidents] = {}
        self._running: dict[str, dict[bytes, int]] = {}
        self._cancelled: dict[str, dict[bytes, float]] = {}
        self._alone: dict[str, bytes] = {}
        self._reports: list[Report] = []
        self._whole_since: float | None = None
        self._ended: dict[bytes, bytes] = {}

    def __bool__(self) -> bool:
        return True

    def __len__(self) -> int:
        return len(self._suspects)

    def reports(self) -> list[Report]:
        """Returns what must be published, since the last call."""
        reports, self._reports = self._reports, []
        return reports

    # What happens on engines that this router dispatches to.

    def started(self, request: bytes, engine: str, now: float) -> None:
        """Notes that a request is about to be sent to an engine."""
        running = self._running.setdefault(engine, {})
        if running or not self._is_suspect(request, now):
            self._alone.pop(engine, None)
        else:
            self._alone[engine] = request
            self._ended.pop(request, None)
        running[request] = running.get(request, 0) + 1

    def finished(self, request: bytes, engine: str, now: float) -> None:
        """Notes that a request ended with its whole answer.

        A suspect that ran alone is cleared.
        """
        alone = self._alone.get(engine) == request
        if self._stop(request, engine) and alone:
            self._end_trial(request, engine, now)
            self._clear(request, now)

    def cancelled(self, request: bytes, engine: str, now: float) -> None:
        """Notes that a request was given up; that clears nothing.

        Call it once the engine has confirmed the cancellation. A crash soon
        afterwards still counts against the request.
        """
        alone = self._alone.get(engine) == request
        if self._stop(request, engine):
            late = self._cancelled.setdefault(engine, {})
            late[request] = now + self._limits.cancelled_s
        self._end_trial(request, engine, now, alone)

    def withdrawn(self, request: bytes, engine: str, now: float) -> None:
        """Notes that no byte of a request can have reached the engine."""
        alone = self._alone.get(engine) == request
        self._stop(request, engine)
        self._end_trial(request, engine, now, alone)

    def engine_crashed(self, engine: str, now: float) -> list[bytes]:
        """Notes that an engine crashed, not that it could not be reached.

        Returns:
            The digests that were in flight and are suspects now.
        """
        found = set(self._running.pop(engine, {}))
        late = self._cancelled.pop(engine, {})
        found |= {item for item, until in late.items() if until > now}
        alone = self._alone.pop(engine, None)
        key = self._incident_key(engine, now)
        fresh = [item for item in sorted(found) if self._trial(item) is None]
        self._report_crash(fresh, key)
        for request in sorted(found):
            self._crashed(request, key, now)
        if alone is not None:
            self._end_trial(alone, engine, now)
        return sorted(found)

    def is_reserved(self, engine: str) -> bool:
        """Whether a suspect runs alone there, so that nothing may join it."""
        return engine in self._alone

    # What other routers say.

    def learn(
        self, request: bytes, count: int, engine: str, now: float
    ) -> list[str]:
        """Takes in that engines crashed with a request.

        Args:
            request: Its digest.
            count: Crashes on that engine.
            engine: The engine.
            now: Monotonic time in seconds.

        Returns:
            Engines on which this router runs the request beside others; it
            must be cancelled there.
        """
        for number in range(count):
            key = number.to_bytes(_ID_BYTES, "big") + engine.encode()
            self._put(request, key, IncidentState.CRASHED, now)
        return self.exposed(request)

    def learn_report(self, key: bytes, payload: bytes, now: float) -> list[str]:
        """Takes in a report of another router.

        Returns:
            As `learn`.

        Raises:
            errors.PeerError: It is no report.
        """
        request, _, state = read_report(key, payload)
        incident = key[DIGEST_BYTES:]
        self._put(request, incident, state, now)
        ended = self._ended.get(request)
        known = self._suspects[request][incident].state
        if known is IncidentState.TRIAL and ended == incident[_ID_BYTES:]:
            # The trial ended here before its report arrived.
            self._set(request, incident, IncidentState.CLEARED, now)
        return self.exposed(request)

    # Decisions.

    def verdict(self, request: bytes, now: float) -> Verdict:
        """Returns what may be done with a request now."""
        incidents = self._live(request, now)
        if not incidents:
            return Verdict.ALLOW
        if self._crashes(incidents, now) >= CRASHES_MAX:
            return Verdict.REFUSE
        if self._wait_until(incidents) > now:
            return Verdict.WAIT
        return Verdict.ALONE

    def retry_after(self, request: bytes, now: float) -> float:
        """Returns seconds until a request that waits may get a verdict."""
        return max(0.0, self._wait_until(self._live(request, now)) - now)

    def note_fleet(self, whole: bool, now: float) -> None:
        """Notes whether this router reaches every other.

        Args:
            whole: Whether `is_whole`, and the view is not in doubt.
            now: Monotonic time in seconds.
        """
        if not whole:
            self._whole_since = None
        elif self._whole_since is None:
            self._whole_since = now

    def begin_trial(self, request: bytes, engine: str, now: float) -> Verdict:
        """Starts a trial; only the deciding router may call this.

        A fleet that was parted must first be whole for as long as reports
        take to arrive from the other side.

        Args:
            request: The digest.
            engine: Engine with nothing in flight.
            now: Monotonic time in seconds.

        Returns:
            ALONE when the trial may start, its report being published first.
        """
        verdict = self.verdict(request, now)
        if verdict is not Verdict.ALONE:
            return verdict
        since = self._whole_since
        if since is None or now < since + self._limits.spread_s:
            return Verdict.WAIT
        key = self._incident_key(engine, now)
        self._set(request, key, IncidentState.TRIAL, now)
        return Verdict.ALONE

    def tick(self, now: float) -> None:
        """Forgets what is too old to matter."""
        for request in list(self._suspects):
            incidents = self._suspects[request]
            for key, incident in list(incidents.items()):
                if incident.learned + self._lifetime(incident.state) <= now:
                    del incidents[key]
            if not incidents:
                del self._suspects[request]
                self._ended.pop(request, None)
        for engine, late in list(self._cancelled.items()):
            kept = {item: until for item, until in late.items() if until > now}
            self._cancelled[engine] = kept
            if not kept:
                del self._cancelled[engine]

    # Incidents.

    def _live(self, request: bytes, now: float) -> _Incidents:
        found = self._suspects.get(request)
        if found is None:
            return {}
        return {
            key: incident
            for key, incident in found.items()
            if incident.state is not IncidentState.CLEARED
            and incident.learned + self._limits.suspect_s > now
        }

    def _is_suspect(self, request: bytes, now: float) -> bool:
        return bool(self._live(request, now))

    def _crashes(self, incidents: _Incidents, now: float) -> int:
        limit = self._limits.trial_s
        return sum(
            incident.state is IncidentState.CRASHED
            or incident.learned + limit <= now
            for incident in incidents.values()
        )

    def _wait_until(self, incidents: _Incidents) -> float:
        return max(
            (
                incident.learned
                + (
                    self._limits.trial_s
                    if incident.state is IncidentState.TRIAL
                    else self._limits.spread_s
                )
                for incident in incidents.values()
            ),
            default=0.0,
        )

    def _report_crash(self, requests: list[bytes], key: bytes) -> None:
        for start in range(0, len(requests), _BATCH_MAX):
            part = requests[start : start + _BATCH_MAX]
            number = bytes([start // _BATCH_MAX % 256])
            payload = bytes([IncidentState.CRASHED]) + b"".join(part)
            lifetime = self._limits.suspect_s
            self._reports.append(
                Report(_BATCH + key + number, payload, lifetime)
            )

    def _crashed(self, request: bytes, key: bytes, now: float) -> None:
        trial = self._trial(request)
        if trial is None:
            self._put(request, key, IncidentState.CRASHED, now)
        else:
            self._set(request, trial, IncidentState.CRASHED, now)
        crashes = self._crashes(self._live(request, now), now)
        invariants.check(
            crashes <= CRASHES_MAX,
            events.ENGINES_CRASHED,
            digest=request.hex(),
            crashes=crashes,
        )

    def _clear(self, request: bytes, now: float) -> None:
        for key in self._live(request, now):
            self._set(request, key, IncidentState.CLEARED, now)

    def _end_trial(
        self, request: bytes, engine: str, now: float, alone: bool = True
    ) -> None:
        key = self._trial(request)
        if key is not None and key[_ID_BYTES:] == engine.encode():
            self._set(request, key, IncidentState.CLEARED, now)
        elif key is None and alone and request in self._suspects:
            # The report of this trial is still under way.
            self._ended[request] = engine.encode()

    def _trial(self, request: bytes) -> bytes | None:
        for key, incident in self._suspects.get(request, {}).items():
            if incident.state is IncidentState.TRIAL:
                return key
        return None

    def _set(
        self, request: bytes, key: bytes, state: IncidentState, now: float
    ) -> None:
        self._put(request, key, state, now)
        lifetime = self._lifetime(state)
        self._reports.append(Report(request + key, bytes([state]), lifetime))

    def _put(
        self, request: bytes, key: bytes, state: IncidentState, now: float
    ) -> None:
        if request not in self._suspects:
            self._make_room()
        incidents = self._suspects.setdefault(request, {})
        known = incidents.get(key)
        if known is None or known.state < state:
            incidents[key] = _Incident(state, now)

    def _make_room(self) -> None:
        if len(self._suspects) >= self._limits.suspects_max:
            # Dictionaries keep the order of insertion, so this is the oldest.
            oldest = next(iter(self._suspects))
            del self._suspects[oldest]
            self._ended.pop(oldest, None)

    def _lifetime(self, state: IncidentState) -> float:
        if state is IncidentState.CLEARED:
            return self._limits.cleared_s
        return self._limits.suspect_s

    def _incident_key(self, engine: str, now: float) -> bytes:
        text = f"{self._name}/{engine}/{now}"
        number = xxhash.xxh32_digest(text.encode())
        return number + engine.encode()

    # Requests in flight.

    def _stop(self, request: bytes, engine: str) -> bool:
        running = self._running.get(engine, {})
        count = running.get(request, 0)
        if count == 0:
            return False
        if count > 1:
            running[request] = count - 1
        else:
            del running[request]
        if not running:
            self._running.pop(engine, None)
            self._alone.pop(engine, None)
        return True

    def exposed(self, request: bytes) -> list[str]:
        """Returns engines where a suspect runs here without a trial.

        It must be cancelled there, also when the crash was noticed here.
        """
        incidents = self._suspects.get(request, {}).values()
        if all(item.state is IncidentState.CLEARED for item in incidents):
            return []
        return sorted(
            engine
            for engine, running in self._running.items()
            if request in running and self._alone.get(engine) != request
        )
