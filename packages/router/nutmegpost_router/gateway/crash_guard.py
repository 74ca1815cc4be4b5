"""Refuses requests that crash endpoints, at all gateways alike.

Each gateway reports the requests and prompt parts that it lost in a crash, and
which of them were answered later, as items that gossip spreads. A gateway whose
charges differ from those of the peer that it polls, because it started or was
cut off meanwhile, gets all charges from that peer.
"""

from collections.abc import Callable
import secrets

import xxhash

from nutmegpost_core import calls
from nutmegpost_core import crash_reports
from nutmegpost_core import crashes
from nutmegpost_core import crashing_parts
from nutmegpost_core import dissemination
from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import roster
from nutmegpost_router import gossip
from nutmegpost_router import log
from nutmegpost_router.gateway import pending_request

__all__ = ["CrashGuard"]

# Time from a crash for which peers pass its reports on; a report that arrives
# late expires that much sooner, which tells its receiver when the crash was.
_REPORT_LIFETIME_S = 120.0
# Time for which peers pass on that a request or a part is tried.
_TRIAL_LIFETIME_S = 10.0
_EXPIRY_INTERVAL_S = 10.0


class CrashGuard:
    """Requests and prompt parts that crash endpoints, known to a gateway."""

    def __init__(self, publish: Callable[[gossip.Publish], None]):
        """Creates a guard that knows of no crash.

        Args:
            publish: Publishes an item to the peers.
        """
        self._publish = publish
        self._requests = crashes.CrashCharges()
        self._parts = crashing_parts.PartBreaker()
        self._reports = crash_reports.CrashReports(
            secrets.token_bytes(crash_reports.REPORTER_BYTES)
        )
        self._next_expiry = 0.0

    @property
    def requests(self) -> crashes.CrashCharges:
        """Crashes that each request is charged with."""
        return self._requests

    @property
    def parts(self) -> crashing_parts.PartBreaker:
        """Crashes that each prompt part is charged with."""
        return self._parts

    def admit(
        self, fingerprint: pending_request.Fingerprint, now: float
    ) -> str:
        """Decides whether a request is sent, possibly as a trial.

        Args:
            fingerprint: Identifies the request and its parts.
            now: Monotonic time, seconds.

        Returns:
            Why the request is refused; empty if it may be sent.
        """
        request, parts = fingerprint
        is_blamed = self._requests.is_refused(request, now)
        if is_blamed and not self._requests.is_trial_due(request, now):
            return "this request crashed endpoints before"
        verdict = self._parts.verdict(parts, now)
        if verdict is crashing_parts.Verdict.REFUSE:
            return "a part of this prompt crashed endpoints before"
        if is_blamed:
            self._requests.record_trial(request, now)
            self._announce_trial(request, self._requests.count(request, now))
        if verdict is crashing_parts.Verdict.TRY:
            for part in self._parts.record_trial(parts, now):
                self._announce_trial(part, self._parts.charges.count(part, now))
        return ""

    def _announce_trial(self, subject: str, count: int) -> None:
        """Tells the peers of a trial, so that they make no other soon."""
        log.emit(events.SUBJECT_TRIED, subject=subject, crashes=count)
        self._publish(
            gossip.Publish(
                dissemination.Kind.CRASH_TRIAL,
                bytes.fromhex(subject),
                b"",
                _TRIAL_LIFETIME_S,
            )
        )

    def is_refused(
        self, fingerprint: pending_request.Fingerprint, now: float
    ) -> bool:
        """Returns whether a request that was lost is not sent again."""
        return self._requests.is_refused(fingerprint.request, now) or any(
            self._parts.is_suspect(part, now) for part in fingerprint.parts
        )

    def charge(
        self,
        fingerprint: pending_request.Fingerprint,
        call: calls.Call,
        endpoint: roster.Endpoint,
        now: float,
    ) -> None:
        """Charges a request and its parts with the crash of an endpoint.

        Args:
            fingerprint: Identifies the request and its parts.
            call: The request, for the log.
            endpoint: The endpoint.
            now: Monotonic time of the crash, seconds.
        """
        crash = crashes.crash_digest(endpoint.name, endpoint.started_ms)
        request, parts = fingerprint
        is_new = self._requests.charge(request, crash, now)
        entry = crash_reports.Entry(request, False, False)
        self._reports.add(crash, now, entry)
        for part in parts:
            self._parts.charges.charge(part, crash, now)
            entry = crash_reports.Entry(part, True, False)
            self._reports.add(crash, now, entry)
        self._publish_reports(now)
        if is_new:
            log.emit(
                events.REQUEST_CHARGED,
                digest=request,
                endpoint=endpoint.name,
                request=call.identity,
                parts=call.part_names,
            )

    def record_answer(
        self, fingerprint: pending_request.Fingerprint, now: float
    ) -> None:
        """Removes the charges of a request that was answered.

        Args:
            fingerprint: Identifies the request and its parts.
            now: Monotonic time, seconds.
        """
        request, parts = fingerprint
        for crash, at in self._requests.clear(request).items():
            entry = crash_reports.Entry(request, False, True)
            self._reports.add(crash, at, entry)
        for part, crash, at, _ in self._parts.record_answer(parts):
            log.emit(events.PART_CLEARED, part=part, crash=crash)
            entry = crash_reports.Entry(part, True, True)
            self._reports.add(crash, at, entry)
        self._publish_reports(now)

    def receive(self, item: gossip.ItemReceived, now: float) -> None:
        """Applies an item of a peer.

        Args:
            item: The item.
            now: Monotonic time, seconds.
        """
        if item.kind is dissemination.Kind.CRASH_TRIAL:
            subject = item.key.hex()
            if subject in self._requests.charged:
                self._requests.record_trial(subject, now)
            else:
                self._parts.record_peer_trial(subject, now)
        elif item.kind is dissemination.Kind.CRASH_REPORT:
            at = min(now, item.expires - _REPORT_LIFETIME_S)
            report = crash_reports.Report(item.key, item.payload, at)
            try:
                crash, entries = crash_reports.read(report)
            except errors.PeerError as caught:
                log.emit(events.SUSPECT_MALFORMED, reason=str(caught))
                return
            self._requests.merge(
                crash_reports.charges(crash, at, entries, False)
            )
            self._parts.merge(crash_reports.charges(crash, at, entries, True))

    def digest(self, now: float) -> str:
        """Returns a digest of the charges, to compare with peers."""
        total = 0
        for table in self._tables():
            for charge in table.charges(now):
                if not charge.is_cleared:
                    total ^= xxhash.xxh3_64_intdigest(
                        f"{charge.subject} {charge.crash}".encode()
                    )
        return f"{total:016x}"

    def encode(self, now: float) -> list[list[list[object]]]:
        """Returns all charges, for a peer: of requests and of parts."""
        return [
            [
                [
                    charge.subject,
                    charge.crash,
                    int((now - charge.at) * 1000),
                    charge.is_cleared,
                ]
                for charge in table.charges(now)
            ]
            for table in self._tables()
        ]

    def merge(self, encoded: list[list[list[object]]], now: float) -> None:
        """Merges the charges of a peer.

        Raises:
            TypeError, ValueError: They are malformed.
        """
        of_requests, of_parts = encoded
        self._requests.merge(_decode(of_requests, now))
        self._parts.merge(_decode(of_parts, now))

    def expire(self, now: float) -> None:
        """Discards the charges that no longer count."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_S
        for table in self._tables():
            table.expire(now)

    def _tables(self) -> list[crashes.CrashCharges]:
        return [self._requests, self._parts.charges]

    def _publish_reports(self, now: float) -> None:
        for report in self._reports.take_changed():
            lifetime_s = report.at + _REPORT_LIFETIME_S - now
            # Peers learn of later changes when they poll this gateway.
            if lifetime_s <= 0:
                continue
            self._publish(
                gossip.Publish(
                    dissemination.Kind.CRASH_REPORT,
                    report.key,
                    report.payload,
                    lifetime_s,
                )
            )


def _decode(encoded: list[list[object]], now: float) -> list[crashes.Charge]:
    return [
        crashes.Charge(
            str(subject),
            str(crash),
            now - int(str(age_ms)) / 1000,
            bool(is_cleared),
        )
        for subject, crash, age_ms, is_cleared in encoded
    ]
