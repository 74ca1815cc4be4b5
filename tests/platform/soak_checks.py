"""Checks of the fault soak: configurations in force, and repeats."""

import bisect
import collections
import contextlib
from typing import NamedTuple

import standin

# Versions before and after the current one that a probe can tell apart.
PROBED_VERSIONS = 40
# Path and key of a probe, by what a version changes.
PROBES = {
    "route added": ("/added-{}/", ""),
    "route moved": ("/moved-{}/", ""),
    "key added": ("/still/", "added-{}"),
    "key revoked": ("/still/", "revoked-{}"),
}
PROBE_SERVICES = ("old", "new")
CONTACT_S = 3.0
IN_FORCE_S = 2.0
# On links of 12 Mbit/s.
NARROW_IN_FORCE_S = 3.0


def configuration(version, route_count):
    """Returns a document in which each version changes what PROBES name.

    From version N on, route and key `added-N` exist, key `revoked-N` doesn't,
    and route `moved-N` leads to service `new`, before to `old`. `route_count`
    routes more are not used.
    """
    known = range(max(2, version - PROBED_VERSIONS), version + 1)
    later = range(version + 1, version + PROBED_VERSIONS)
    document = standin.configuration(version)
    services = {
        "still": "old",
        **{f"added-{n}": "old" for n in known},
        **{f"moved-{n}": "new" for n in known},
        **{f"moved-{n}": "old" for n in later},
        **{f"grown-{n}": "plain" for n in range(route_count)},
    }
    document["routes"] += [
        standin.route(name, "safe", service)
        for name, service in services.items()
    ]
    for route in document["routes"]:
        if route["name"] in ("look", "draft"):
            route["maxAttempts"] = 4
    document["services"] += [
        {"name": name, "healthPath": "/health", "maxConns": 50}
        for name in PROBE_SERVICES
    ]
    document["tenants"][0]["apiKeys"] += [
        *(f"added-{n}" for n in known),
        *(f"revoked-{n}" for n in later),
    ]
    return document


class Probe(NamedTuple):
    """A request whose answer tells whether a version is in force.

    Attributes:
        kind: Key of PROBES.
        version: The version.
        process: Name of the gateway, and which start of it.
        sent_at: Time, seconds.
        proven: Latest version that the process was seen to have before.
        due: Latest version that must be in force; 0 if the gateway is not in
            touch.
    """

    kind: str
    version: int
    process: tuple[str, int]
    sent_at: float
    proven: int
    due: int


def is_older(kind, status, service):
    """Returns whether only an older version answers so; None if unclear."""
    if kind == "key revoked":
        return {401: False, 200: True}.get(status)
    if status == {"route added": 404, "key added": 401}.get(kind):
        return True
    if status != 200:
        return None
    return kind == "route moved" and service != "new"


class ConfigurationCheck:
    """Compares answers with the versions that the store acknowledged.

    Attributes:
        violations: The first violation of each process and version.
        due_counts: Clear answers where a version was due, by kind.
    """

    def __init__(self):
        self.due_counts = collections.Counter()
        self._violations = {}
        self._times = []
        self._versions = []
        self._proven = collections.Counter()
        self._disruptions = collections.Counter()
        self._disrupted_until = {}

    @property
    def violations(self):
        return list(self._violations.values())

    @contextlib.contextmanager
    def disrupted(self, subject, clock):
        """Disrupts `store` or a gateway, or makes the `links` narrow."""
        self._disruptions[subject] += 1
        try:
            yield
        finally:
            self._disruptions[subject] -= 1
            self._disrupted_until[subject] = clock()

    def _is_calm(self, subject, now):
        until = self._disrupted_until.get(subject, float("-inf"))
        return not self._disruptions[subject] and now - until >= CONTACT_S

    def acknowledge(self, version, now):
        self._times.append(now)
        self._versions.append(version)

    def probe(self, kind, process, is_latest, now):
        """Returns the next probe; of the latest version, or of one that binds.

        A version binds if it is due, or if the process had it before.
        """
        is_wide = self._is_calm("links", now)
        bound_s = IN_FORCE_S if is_wide else NARROW_IN_FORCE_S
        count = bisect.bisect_left(self._times, now - bound_s)
        is_in_touch = all(
            self._is_calm(subject, now) for subject in ("store", process[0])
        )
        due = self._versions[count - 1] if count and is_in_touch else 0
        proven = self._proven[process]
        version = self._versions[-1] if is_latest else max(due, proven)
        return Probe(kind, version, process, now, proven, due)

    def record(self, probe, status, service):
        """Records the answer to a probe, and the service that ran it."""
        older = is_older(probe.kind, status, service)
        oldest = self._versions[-1] - PROBED_VERSIONS
        if older is None or probe.version < max(2, oldest):
            return
        self.due_counts[probe.kind] += probe.version <= probe.due
        if not older:
            proven = max(self._proven[probe.process], probe.version)
            self._proven[probe.process] = proven
        elif probe.version <= probe.proven:
            self._add(probe, f"it had {probe.proven}")
        elif probe.version <= probe.due:
            index = bisect.bisect_left(self._versions, probe.version)
            late_s = probe.sent_at - self._times[index]
            self._add(probe, f"acknowledged {late_s:.2f} s before")

    def _add(self, probe, reason):
        key = probe.process, probe.version, probe.version <= probe.proven
        text = (
            f"CONFIG {probe.process} at {probe.sent_at:.2f}: {probe.kind},"
            f" older than version {probe.version}: {reason}"
        )
        self._violations.setdefault(key, text)


class Budget(NamedTuple):
    """Repeats of the fleet for a request and a window, and the window."""

    ratio: float
    extra: float
    window_s: float


def repeats(arrivals):
    """Returns when requests arrived, pairs of time and id, beyond the first."""
    seen = set()
    times = []
    for time, identity in sorted(arrivals):
        if identity in seen:
            times.append(time)
        seen.add(identity)
    return times


def over_budget(sent, repeated, budget):
    """Returns repeats, allowed repeats and start of each window above it.

    The requests are those of the window, of the one before it or of the one
    half a window before it, whichever has most.
    """
    window_s = budget.window_s
    # Windows that a repeat begins, and those that end just after one.
    starts = [*repeated, *(time - window_s + 1e-6 for time in repeated)]
    found = []
    for start in sorted(starts):
        most = max(
            _count(sent, start - share * window_s, window_s)
            for share in (0, 0.5, 1)
        )
        allowed = budget.ratio * most + budget.extra
        arrived = _count(repeated, start, window_s)
        if arrived > allowed:
            found.append((arrived, allowed, start))
    return found


def _count(times, start, length):
    return bisect.bisect_left(times, start + length) - bisect.bisect_left(
        times, start
    )
