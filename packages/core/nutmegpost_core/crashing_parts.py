"""Circuit breaker for prompt parts that crash the endpoints that read them.

Requests that share a crashing part have nothing else in common, so no single
one of them crashes endpoints twice. When an endpoint goes down, each shared
part of the prompts in flight on it is charged with the crash, and the first
event of an answer removes the charges of the request's parts. A crashing part
is never answered; the parts that it is used together with are, in other
requests.

A part is suspect after several crashes without an answer since. Crashes at one
moment have one cause, such as the loss of a rack, and do not make a part
suspect by themselves. A part is not suspect while other parts explain its
crashes: one that is charged with all of them and more, or, for a part that has
been answered before, several that have never been.

Requests with a suspect part are refused, except for single trials at growing
intervals, so that a part that was blamed wrongly is served again.
"""

from collections.abc import Collection, Iterable
import enum
import math

import xxhash

from nutmegpost_core import crashes
from nutmegpost_core import trials

__all__ = ["PartBreaker", "Verdict", "part_digest"]

# Crashes without an answer after which a part can be suspect. The requirements
# tolerate five.
CRASHES_MAX = 3
# Crashes within this time from the first count as one moment.
MOMENT_S = 0.5
MOMENTS_MIN = 2
# Interval before the first trial of a part, and that for a part which was
# answered before. The fourth trial of a part that crashes each time comes 14
# minutes after the first.
TRIAL_INTERVAL_S = 10.0
ANSWERED_TRIAL_INTERVAL_S = 1.0
# Interval between trials that tell apart two parts charged with equal crashes.
SPLIT_INTERVAL_S = 1.0
PARTS_MAX = 2_000
# Crashes from which a part that was never answered explains those of others.
EXPLAINING_CRASHES_MIN = 2
# Parts remembered as answered before.
ANSWERED_PARTS_MAX = 10_000


def part_digest(identity: str) -> str:
    """Returns the digest that identifies a prompt part in reports."""
    return xxhash.xxh3_64_hexdigest(identity.encode())


class Verdict(enum.StrEnum):
    """What happens to a request because of the parts of its prompt.

    Attributes:
        SEND: No part is suspect.
        TRY: The request is sent as the trial of its suspect parts.
        REFUSE: The request is not sent.
    """

    SEND = "send"
    TRY = "try"
    REFUSE = "refuse"


class PartBreaker:
    """The parts that are charged with crashes, and their trials."""

    def __init__(self) -> None:
        self._charges = crashes.CrashCharges(subjects_max=PARTS_MAX)
        self._trials = trials.TrialSchedule()
        # The least recently answered part is first.
        self._answered: dict[str, None] = {}

    @property
    def charges(self) -> crashes.CrashCharges:
        """Crashes that each part is charged with."""
        return self._charges

    def verdict(self, parts: Collection[str], now: float) -> Verdict:
        """Decides whether a request is sent.

        Args:
            parts: Digests of the shared parts of its prompt.
            now: Monotonic time, seconds.
        """
        suspects = [part for part in parts if self.is_suspect(part, now)]
        if not suspects:
            return Verdict.SEND
        if all(self._is_trial_due(part, parts, now) for part in suspects):
            return Verdict.TRY
        return Verdict.REFUSE

    def is_suspect(self, part: str, now: float) -> bool:
        """Returns whether a part probably crashes endpoints.

        Args:
            part: Digest of the part.
            now: Monotonic time, seconds.
        """
        if part not in self._charges.charged:
            return False
        crash_times = self._charges.crash_times(part, now)
        return (
            len(crash_times) >= CRASHES_MAX
            and _moments(crash_times.values()) >= MOMENTS_MIN
            and not self._is_explained(part, now)
        )

    def record_trial(self, parts: Iterable[str], now: float) -> list[str]:
        """Records that a request with some parts is sent as a trial.

        Args:
            parts: Digests of the shared parts of its prompt.
            now: Monotonic time, seconds.

        Returns:
            The suspect parts; peers must not try these too.
        """
        tried = [part for part in parts if self.is_suspect(part, now)]
        for part in tried:
            self.record_peer_trial(part, now)
        return tried

    def record_peer_trial(self, part: str, now: float) -> None:
        """Records that a peer sent a request as the trial of a part."""
        self._trials.record(part, now)

    def record_answer(self, parts: Iterable[str]) -> list[crashes.Charge]:
        """Records that a request with some parts was answered.

        Returns:
            The charges that this removed.
        """
        cleared = []
        for part in parts:
            self._answered.pop(part, None)
            self._answered[part] = None
            self._trials.clear(part)
            cleared += [
                crashes.Charge(part, crash, at, True)
                for crash, at in self._charges.clear(part).items()
            ]
        while len(self._answered) > ANSWERED_PARTS_MAX:
            del self._answered[next(iter(self._answered))]
        return cleared

    def merge(self, charges: Iterable[crashes.Charge]) -> None:
        """Merges charges that another router reported."""
        for part in self._charges.merge(charges):
            self._trials.clear(part)

    def _is_explained(self, part: str, now: float) -> bool:
        """Returns whether other parts better explain the crashes of one."""
        own = set(self._charges.crash_times(part, now))
        is_answered = part in self._answered
        explained: set[str] = set()
        for other, others in self._others(part, own, now):
            was_answered = other in self._answered
            if own < others and (is_answered or not was_answered):
                return True
            if not was_answered and len(others) >= EXPLAINING_CRASHES_MIN:
                explained |= others
        return is_answered and own <= explained

    def _others(
        self, part: str, own: set[str], now: float
    ) -> Iterable[tuple[str, set[str]]]:
        """Yields the parts that share a crash with one, and their crashes."""
        others = {
            other for crash in own for other in self._charges.subjects(crash)
        }
        for other in others - {part}:
            yield other, set(self._charges.crash_times(other, now))

    def _is_trial_due(
        self, part: str, parts: Collection[str], now: float
    ) -> bool:
        crash_times = self._charges.crash_times(part, now)
        if any(
            others == crash_times.keys() and other not in parts
            for other, others in self._others(part, set(crash_times), now)
        ):
            return now - self._trials.last_at(part) >= SPLIT_INTERVAL_S
        interval_s = (
            ANSWERED_TRIAL_INTERVAL_S
            if part in self._answered
            else TRIAL_INTERVAL_S
        )
        blamed_at = max(crash_times.values())
        return self._trials.is_due(part, blamed_at, interval_s, now)


def _moments(times: Iterable[float]) -> int:
    """Returns the number of moments at which crashes happened."""
    moments = 0
    begin = -math.inf
    for at in sorted(times):
        if at - begin >= MOMENT_S:
            moments += 1
            begin = at
    return moments
