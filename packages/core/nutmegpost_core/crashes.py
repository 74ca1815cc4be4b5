"""Circuit breaker for requests that crash the endpoints that run them.

A request is identified by a digest of its account, path and body, because its
client retries it under a new id. When an endpoint goes down, each request in
flight on it is charged with one crash. A request charged with crashes of
several endpoints is refused.

Endpoints also crash for unrelated reasons, after which the requests that were
in flight are retried together. If several requests share the same two crashes,
a third one is needed to tell which of them is the cause.
"""

from collections.abc import Mapping

import xxhash

__all__ = ["CrashCharges", "digest"]

# Crashes after which a request is refused if no other request shares them.
UNSHARED_CRASHES_MAX = 2
# Crashes after which a request is always refused, as the requirements demand.
CRASHES_MAX = 3
CHARGE_LIFETIME_S = 600.0
DIGESTS_MAX = 10_000


def digest(account: str, path: str, body: bytes) -> str:
    """Returns the digest that identifies a request and its retries."""
    prefix = f"{account}\n{path}\n".encode()
    return xxhash.xxh3_128_hexdigest(prefix + body)[:16]


class CrashCharges:
    """Crashed endpoints that each request digest is charged with."""

    def __init__(self) -> None:
        self._charged: dict[str, dict[str, float]] = {}

    @property
    def charged(self) -> Mapping[str, Mapping[str, float]]:
        """Crash times in monotonic seconds, by endpoint, by digest."""
        return self._charged

    def charge(self, request_digest: str, endpoint: str, now: float) -> bool:
        """Charges a request with the crash of an endpoint.

        Args:
            request_digest: Digest of the request.
            endpoint: The endpoint that crashed.
            now: Monotonic time, seconds.

        Returns:
            Whether the charge is new.
        """
        crash_times = self._charged.get(request_digest)
        if crash_times is None:
            if len(self._charged) >= DIGESTS_MAX:
                del self._charged[next(iter(self._charged))]
            crash_times = self._charged[request_digest] = {}
        if endpoint in crash_times:
            return False
        crash_times[endpoint] = now
        return True

    def clear(self, request_digest: str) -> None:
        """Removes the charges of a request that was answered."""
        self._charged.pop(request_digest, None)

    def count(self, request_digest: str, now: float) -> int:
        """Returns the number of unexpired charges of a request."""
        crash_times = self._charged.get(request_digest)
        if not crash_times:
            return 0
        return sum(
            1 for at in crash_times.values() if now - at < CHARGE_LIFETIME_S
        )

    def is_refused(self, request_digest: str, now: float) -> bool:
        """Returns whether a request must be refused."""
        count = self.count(request_digest, now)
        if count < UNSHARED_CRASHES_MAX:
            return False
        return count >= CRASHES_MAX or not self._is_shared(request_digest)

    def _is_shared(self, request_digest: str) -> bool:
        """Returns whether another request is charged with the same crashes."""
        endpoints = self._charged[request_digest].keys()
        return any(
            endpoints <= charged.keys()
            for other, charged in self._charged.items()
            if other != request_digest
        )
