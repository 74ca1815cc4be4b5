"""Circuit breaker for requests that crash the endpoints that run them.

A request is identified by a digest of its account, path and body, because its
client retries it under a new id. When an endpoint goes down, each request in
flight on it is charged with the crash. A request charged with several crashes
is refused.

Endpoints also crash for unrelated reasons, after which the requests that were
in flight are retried together. If several requests share the same two crashes,
a third one is needed to tell which of them is the cause. A request that was
blamed wrongly is served again after a single trial; the intervals between the
trials grow.

Charges and their removals are sets that only grow, so that the reports of
several routers can be merged in any order.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

from nutmegpost_core import trials

__all__ = ["Charge", "CrashCharges", "crash_digest", "digest"]

# Crashes after which a request is refused if no other request shares them.
UNSHARED_CRASHES_MAX = 2
# Crashes after which a request is always refused, as the requirements demand.
CRASHES_MAX = 3
CHARGE_LIFETIME_S = 3600.0
# Interval before the first trial of a refused request.
TRIAL_INTERVAL_S = 30.0
DIGESTS_MAX = 10_000


def digest(account: str, path: str, body: bytes) -> str:
    """Returns the digest that identifies a request and its retries."""
    prefix = f"{account}\n{path}\n".encode()
    return xxhash.xxh3_128_hexdigest(prefix + body)[:16]


def crash_digest(endpoint: str, started_ms: int) -> str:
    """Returns the digest that identifies a crash at all routers.

    Args:
        endpoint: Name of the endpoint; a restart may keep it.
        started_ms: Start time of the instance that crashed, Unix milliseconds.
    """
    return xxhash.xxh3_64_hexdigest(f"{endpoint}\n{started_ms}".encode())


class Charge(NamedTuple):
    """A subject that was in flight at a crash.

    Attributes:
        subject: Digest of a request or of a part of its prompt.
        crash: The crash, as `crash_digest` names it.
        at: Monotonic time of the crash, seconds.
        is_cleared: Whether the subject has been answered since.
    """

    subject: str
    crash: str
    at: float
    is_cleared: bool


class CrashCharges:
    """Crashed endpoints that each subject is charged with.

    A subject is the digest of whatever may be the cause of crashes: here a
    request, in `crashing_parts` a part of a prompt.
    """

    def __init__(
        self,
        lifetime_s: float = CHARGE_LIFETIME_S,
        subjects_max: int = DIGESTS_MAX,
    ) -> None:
        """Creates an empty table.

        Args:
            lifetime_s: Time after which a charge no longer counts, seconds.
            subjects_max: Number of subjects stored; the oldest are discarded.
        """
        self._lifetime_s = lifetime_s
        self._subjects_max = subjects_max
        self._charged: dict[str, dict[str, float]] = {}
        self._cleared: dict[str, dict[str, float]] = {}
        self._subjects: dict[str, set[str]] = {}
        self._trials = trials.TrialSchedule()

    @property
    def charged(self) -> Mapping[str, Mapping[str, float]]:
        """Crash times in monotonic seconds, by crash, by subject."""
        return self._charged

    def charges(self, now: float) -> list[Charge]:
        """Returns the unexpired charges, including those removed."""
        return [
            Charge(subject, crash, at, is_cleared)
            for table, is_cleared in (
                (self._charged, False),
                (self._cleared, True),
            )
            for subject, crash_times in table.items()
            for crash, at in crash_times.items()
            if now - at < self._lifetime_s
        ]

    def charge(self, subject: str, crash: str, now: float) -> bool:
        """Charges a subject with a crash.

        Args:
            subject: Digest of the subject.
            crash: The crash.
            now: Monotonic time of the crash, seconds.

        Returns:
            Whether the charge is new.
        """
        if crash in self._cleared.get(subject, ()):
            return False
        crash_times = self._charged.get(subject)
        if crash_times is None:
            if len(self._charged) >= self._subjects_max:
                self._discard(next(iter(self._charged)))
            crash_times = self._charged[subject] = {}
        if crash in crash_times:
            return False
        crash_times[crash] = now
        self._subjects.setdefault(crash, set()).add(subject)
        return True

    def clear(self, subject: str) -> dict[str, float]:
        """Removes the charges of a subject that was answered.

        Returns:
            Times of the crashes that it was charged with, by crash.
        """
        self._trials.clear(subject)
        crash_times = dict(self._charged.get(subject, {}))
        for crash, at in crash_times.items():
            self.clear_crash(subject, crash, at)
        return crash_times

    def clear_crash(self, subject: str, crash: str, at: float) -> None:
        """Removes one charge, also if it is only known to other routers yet.

        Args:
            subject: Digest of the subject.
            crash: The crash.
            at: Monotonic time of the crash, seconds.
        """
        crash_times = self._charged.get(subject)
        if crash_times is not None:
            crash_times.pop(crash, None)
            self._forget_subject(subject, crash)
            if not crash_times:
                del self._charged[subject]
        if subject not in self._cleared:
            if len(self._cleared) >= self._subjects_max:
                del self._cleared[next(iter(self._cleared))]
            self._cleared[subject] = {}
        self._cleared[subject].setdefault(crash, at)

    def merge(self, charges: Iterable[Charge]) -> set[str]:
        """Merges charges that another router reported.

        Returns:
            The subjects that are no longer charged with any crash.
        """
        freed = set()
        for subject, crash, at, is_cleared in charges:
            if not is_cleared:
                self.charge(subject, crash, at)
                continue
            was_charged = subject in self._charged
            self.clear_crash(subject, crash, at)
            if was_charged and subject not in self._charged:
                self._trials.clear(subject)
                freed.add(subject)
        return freed

    def crash_times(self, subject: str, now: float) -> Mapping[str, float]:
        """Returns the times of the unexpired crashes of a subject."""
        return {
            crash: at
            for crash, at in self._charged.get(subject, {}).items()
            if now - at < self._lifetime_s
        }

    def subjects(self, crash: str) -> Collection[str]:
        """Returns the subjects that are charged with a crash."""
        return self._subjects.get(crash, ())

    def count(self, subject: str, now: float) -> int:
        """Returns the number of unexpired charges of a subject."""
        return len(self.crash_times(subject, now))

    def is_refused(self, request_digest: str, now: float) -> bool:
        """Returns whether a request must be refused."""
        count = self.count(request_digest, now)
        if count < UNSHARED_CRASHES_MAX:
            return False
        return count >= CRASHES_MAX or not self._is_shared(request_digest)

    def is_trial_due(self, request_digest: str, now: float) -> bool:
        """Returns whether a refused request may be sent as a trial."""
        blamed_at = max(self.crash_times(request_digest, now).values())
        return self._trials.is_due(
            request_digest, blamed_at, TRIAL_INTERVAL_S, now
        )

    def record_trial(self, request_digest: str, now: float) -> None:
        """Records that a router sent a refused request as a trial."""
        self._trials.record(request_digest, now)

    def expire(self, now: float) -> None:
        """Discards the charges that no longer count."""
        for table in (self._charged, self._cleared):
            for subject, crash_times in list(table.items()):
                for crash, at in list(crash_times.items()):
                    if now - at >= self._lifetime_s:
                        del crash_times[crash]
                        self._forget_subject(subject, crash)
                if not crash_times:
                    del table[subject]

    def _is_shared(self, subject: str) -> bool:
        """Returns whether another subject is charged with the same crashes."""
        crashes = self._charged[subject].keys()
        return any(
            crashes <= self._charged[other].keys()
            for other in self.subjects(next(iter(crashes)))
            if other != subject
        )

    def _discard(self, subject: str) -> None:
        for crash in self._charged.pop(subject):
            self._forget_subject(subject, crash)

    def _forget_subject(self, subject: str, crash: str) -> None:
        subjects = self._subjects.get(crash)
        if subjects is not None:
            subjects.discard(subject)
            if not subjects:
                del self._subjects[crash]
