"""Permits: at-most-once execution of calls that are not idempotent.

A permit names the incarnation of the router that issued it. Only the table
that holds that incarnation may execute the permit or report that it was not
executed. A table marks a permit as used before it sends the first byte to an
endpoint, and permanently rejects every permit for which it answered "not run".
Every other router only forwards calls; without an answer from the holder the
outcome is unknown.

At a planned stop a table is handed over to one incarnation of one successor.
An exported table executes no further permits, even if the message is lost.
docs/design/permits.md gives the reasons.
"""

import base64
import binascii
import enum
import hashlib
import hmac
from typing import NamedTuple

import cbor2
import msgspec

from nutmegpost_core import errors
from nutmegpost_core import events
from nutmegpost_core import invariants

__all__ = [
    "LIFETIME_S",
    "RESULT_BYTES_MAX",
    "RETENTION_S",
    "Claim",
    "Join",
    "Local",
    "Permit",
    "Pointer",
    "Recorded",
    "Remote",
    "Result",
    "Run",
    "Table",
    "call_digest",
    "decode",
    "encode",
]

LIFETIME_S = 600.0
RETENTION_S = 600.0
RESULT_BYTES_MAX = 16_000_000
# A hand-over has to fit into one message between routers.
EXPORT_RESULT_BYTES_MAX = 1_000_000
_DROP_INTERVAL_S = 1.0
_DIGEST_BYTES = 16
_MAC_BYTES = 32
_TEXT_LENGTH_MAX = 512
_MAC_CONTEXT = b"nutmegpost permit\0"


class Permit(NamedTuple):
    """The right to execute one call at most once.

    Attributes:
        issuer: Name of the router that issued the permit.
        incarnation: Incarnation of that router.
        sequence: Sequence number of the permit within the incarnation.
        expires_ms: Expiry time, milliseconds since the incarnation started.
        account: Account that may use the permit.
    """

    issuer: str
    incarnation: int
    sequence: int
    expires_ms: int
    account: str


class Result(NamedTuple):
    """The result of the call made with a permit.

    Attributes:
        outcome: Whether the call was executed; a value of `errors.Outcome`.
        status: HTTP status.
        code: Error code; empty if the call was answered.
        body: Body of the answer, or the error text.
    """

    outcome: str
    status: int
    code: str
    body: bytes


class Run(NamedTuple):
    """The caller must execute the call now; the permit is marked as used."""

    permit: Permit


class Join(NamedTuple):
    """The call is already running; the caller waits for its result."""

    permit: Permit


class Recorded(NamedTuple):
    """The call has ended; the caller returns the recorded result."""

    result: Result


Claim = Run | Join | Recorded


class Local(NamedTuple):
    """This router process holds the permit."""


class Remote(NamedTuple):
    """Another router process holds the permit.

    Attributes:
        name: Name of the router.
        incarnation: Incarnation of the process.
    """

    name: str
    incarnation: int


class Pointer(NamedTuple):
    """Maps a stopped incarnation to the successor that holds its permits.

    Attributes:
        incarnation: The stopped incarnation.
        successor_name: Name of the successor.
        successor_incarnation: Incarnation of the successor.
        generation: Incremented when the stopped incarnation cancels an export
            and may choose another successor; the highest one wins.
        remaining_ms: Remaining lifetime of the pointer, milliseconds.
    """

    incarnation: int
    successor_name: str
    successor_incarnation: int
    generation: int
    remaining_ms: int


def encode(permit: Permit, key: bytes) -> str:
    """Encodes a permit as authenticated text.

    Args:
        permit: The permit.
        key: The peer key.

    Returns:
        The permit and its MAC in URL-safe Base64.
    """
    data = cbor2.dumps(list(permit))
    return base64.urlsafe_b64encode(data + _mac(data, key)).decode()


def decode(text: str, key: bytes) -> Permit:
    """Decodes the text form of a permit and checks its MAC.

    Args:
        text: Text that `encode` returned.
        key: The peer key.

    Returns:
        The permit.

    Raises:
        errors.PermitError: The text is malformed, not canonical or not
            authenticated by this key.
    """
    if len(text) > _TEXT_LENGTH_MAX:
        raise errors.PermitError("the permit is too long")
    try:
        raw = base64.b64decode(text, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as caught:
        raise errors.PermitError("the permit is malformed") from caught
    data, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(data, key)):
        raise errors.PermitError("the permit is not authentic")
    try:
        permit = msgspec.convert(cbor2.loads(data), Permit)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as caught:
        raise errors.PermitError("the permit is malformed") from caught
    if encode(permit, key) != text:
        raise errors.PermitError("the permit is not in its canonical form")
    return permit


def call_digest(service: str, operation: str, body: bytes) -> bytes:
    """Returns a digest that detects reuse of a permit for another call."""
    digest = hashlib.sha256()
    for part in (service.encode(), operation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:_DIGEST_BYTES]


def _mac(data: bytes, key: bytes) -> bytes:
    return hmac.digest(key, _MAC_CONTEXT + data, "sha256")


class _State(enum.IntEnum):
    """State of a used permit.

    LOST is the state of a permit adopted from another table without a result:
    its call may still run there, or its result is lost.
    """

    RUNNING = 0
    LOST = 1
    ENDED = 2


class _Record:
    """The record of one used permit.

    Attributes:
        digest: Digest of the call, from `call_digest`.
        expires_ms: Expiry time, milliseconds since the incarnation started.
        state: State of the call.
        sent: Whether an endpoint may have received the call.
        result: Result of an ended call; its body may have been dropped.
    """

    def __init__(self, digest: bytes, expires_ms: int, state: _State):
        self.digest = digest
        self.expires_ms = expires_ms
        self.state = state
        self.sent = False
        self.result: Result | None = None


class _Partition:
    """The used permits of one incarnation.

    Attributes:
        started: Monotonic time at which the incarnation started, seconds.
        expires: Monotonic time after which an adopted partition may be
            dropped; None for the partition of this process.
        records: Used permits by sequence number.
    """

    def __init__(self, started: float, expires: float | None = None):
        self.started = started
        self.expires = expires
        self.records: dict[int, _Record] = {}

    def elapsed_ms(self, now: float) -> int:
        """Returns the age of the incarnation in milliseconds."""
        return int((now - self.started) * 1000)


class _PartitionData(NamedTuple):
    """Encoded form of a partition; relative times tolerate clock offsets.

    Attributes:
        incarnation: Incarnation that issued the permits.
        elapsed_ms: Age of the incarnation, milliseconds.
        remaining_ms: Milliseconds until the partition may be dropped.
        records: Sequence number, digest, expiry, state and result of each
            used permit.
    """

    incarnation: int
    elapsed_ms: int
    remaining_ms: int
    records: list[tuple[int, bytes, int, int, Result | None]]


class _Export(NamedTuple):
    """Encoded form of a hand-over.

    Attributes:
        issuer: Name of the exporting router.
        incarnation: Incarnation of the exporting process.
        receiver: Incarnation of the only process that may adopt it.
        generation: Generation of the export; see `Pointer`.
        partitions: The partitions of the table.
        pointers: The pointers known to the table.
    """

    issuer: str
    incarnation: int
    receiver: int
    generation: int
    partitions: list[_PartitionData]
    pointers: list[Pointer]


_RESULT_LOST = Result(
    errors.Outcome.UNKNOWN.value,
    errors.AttemptLostError.status,
    errors.AttemptLostError.code,
    b"the call may have run, but its answer is lost",
)


class Table:
    """The permits held by one incarnation of a router.

    The table is partitioned by issuing incarnation: one partition for this
    process and one for each incarnation that it adopted.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: int,
        key: bytes,
        now: float,
        lifetime_s: float = LIFETIME_S,
        retention_s: float = RETENTION_S,
        result_bytes_max: int = RESULT_BYTES_MAX,
    ):
        """Creates an empty table.

        Args:
            issuer: Name of this router.
            incarnation: Random number that identifies this process.
            key: The peer key.
            now: Monotonic time, seconds.
            lifetime_s: Seconds for which a new permit may be used.
            retention_s: Seconds for which the record of a used permit is
                retained after the permit expires.
            result_bytes_max: Upper bound on the retained result bodies, bytes.
        """
        self._issuer = issuer
        self._incarnation = incarnation
        self._key = key
        self._lifetime_ms = int(lifetime_s * 1000)
        self._retention_ms = int(retention_s * 1000)
        self._result_bytes_max = result_bytes_max
        self._result_bytes = 0
        self._result_sizes: dict[tuple[int, int], int] = {}
        self._sequence = 0
        self._partitions = {incarnation: _Partition(now)}
        self._pointers: dict[int, tuple[Pointer, float]] = {}
        self._successor: Remote | None = None
        self._generation = 0
        self._closed_incarnations: set[int] = set()
        self._next_drop = now

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def key(self) -> bytes:
        """The peer key."""
        return self._key

    @property
    def successor(self) -> Remote | None:
        """The process that the table was exported to, or None."""
        return self._successor

    @property
    def running(self) -> int:
        """Number of calls that were claimed here and have not ended."""
        return sum(
            record.state is _State.RUNNING
            for partition in self._partitions.values()
            for record in partition.records.values()
        )

    def issue(self, account: str, now: float) -> str:
        """Issues a permit.

        Args:
            account: Account that may use it.
            now: Monotonic time, seconds.

        Returns:
            The text form of the permit.

        Raises:
            errors.StoppingError: The table was exported.
        """
        if self._successor:
            raise errors.StoppingError("the router is stopping")
        self._sequence += 1
        elapsed_ms = self._partitions[self._incarnation].elapsed_ms(now)
        permit = Permit(
            self._issuer,
            self._incarnation,
            self._sequence,
            elapsed_ms + self._lifetime_ms,
            account,
        )
        return encode(permit, self._key)

    def route(self, permit: Permit, now: float) -> Local | Remote:
        """Finds the router process that holds a permit.

        Args:
            permit: The permit.
            now: Monotonic time, seconds.

        Returns:
            `Local`, or the last holder known from pointers.

        Raises:
            errors.AttemptLostError: The permit was handed over to this router
                but the hand-over has not arrived, or the last known holder no
                longer runs. The call may have been executed.
        """
        partition = self._partitions.get(permit.incarnation)
        if partition and (
            not self._successor or permit.sequence in partition.records
        ):
            return Local()
        if partition and self._successor:
            return self._follow_pointers(self._successor, now)
        return self._follow_pointers(
            Remote(permit.issuer, permit.incarnation), now
        )

    def claim(
        self, permit: Permit, account: str, digest: bytes, now: float
    ) -> Claim:
        """Claims a permit for a call.

        Args:
            permit: An authenticated permit that `route` found to be local.
            account: Account of the caller.
            digest: Digest of the call, from `call_digest`.
            now: Monotonic time, seconds.

        Returns:
            What the caller must do. After `Run` it must call `record` or
            `refuse` exactly once.

        Raises:
            errors.PermitError: The permit belongs to another account, or it
                expired unused; the call was not and will not be executed.
            errors.IdempotencyError: The permit was used for another call.
            errors.AttemptLostError: The permit is past its retention or is
                not held by this table; the call may have been executed.
        """
        if permit.account != account:
            raise errors.PermitError("the permit is of another account")
        if now >= self._next_drop:
            self._drop_expired(now)
        partition = self._partitions.get(permit.incarnation)
        if partition is None:
            raise errors.AttemptLostError("the permit is not held here")
        record = partition.records.get(permit.sequence)
        if record is not None:
            return self._claim_again(permit, record, digest)
        if self._successor:
            raise errors.AttemptLostError("the permit was handed over")
        return self._claim_first(permit, partition, digest, now)

    def mark_sent(self, permit: Permit) -> None:
        """Marks a call as sent, before its first byte goes to an endpoint."""
        record = self._partitions[permit.incarnation].records[permit.sequence]
        invariants.check(
            record.state is _State.RUNNING and not record.sent,
            events.PERMIT_SENT_TWICE,
            incarnation=permit.incarnation,
            sequence=permit.sequence,
        )
        record.sent = True

    def mark_unsent(self, permit: Permit) -> None:
        """Clears the mark after an attempt that certainly was not executed."""
        self._partitions[permit.incarnation].records[
            permit.sequence
        ].sent = False

    def refuse(self, permit: Permit, result: Result) -> None:
        """Ends a claimed call that was not sent; the permit stays used.

        Args:
            permit: The permit.
            result: The error result, with the outcome "not run".
        """
        record = self._partitions[permit.incarnation].records[permit.sequence]
        invariants.check(
            not record.sent,
            events.PERMIT_REFUSED_AFTER_SENDING,
            incarnation=permit.incarnation,
            sequence=permit.sequence,
        )
        self._end(permit.incarnation, permit.sequence, record, result)

    def record(self, permit: Permit, result: Result) -> None:
        """Ends a claimed call with its answer or an unknown outcome.

        Args:
            permit: The permit.
            result: The answer, or the error of a call that was lost.
        """
        record = self._partitions[permit.incarnation].records[permit.sequence]
        self._end(permit.incarnation, permit.sequence, record, result)

    def export(self, successor: Remote, now: float) -> bytes:
        """Exports the table to a successor.

        From now on this table executes no unused permit. Running calls
        continue; the successor records them as used with an unknown outcome
        until a later export to the same successor delivers the result.

        Args:
            successor: The only incarnation that may adopt the data.
            now: Monotonic time, seconds.

        Returns:
            Data for `adopt`.

        Raises:
            errors.PeerError: The table was exported to another successor, or
                the successor is this process.
        """
        if self._successor not in (None, successor):
            raise errors.PeerError(
                "the permits were exported to another successor"
            )
        if successor.incarnation == self._incarnation:
            raise errors.PeerError("a router cannot be its own successor")
        self._successor = successor
        self._drop_expired(now)
        lifetime_ms = self._lifetime_ms + self._retention_ms
        exported = _results_to_export(self._partitions)
        partitions = [
            _encode_partition(
                incarnation, partition, now, lifetime_ms, exported
            )
            for incarnation, partition in self._partitions.items()
        ]
        message = _Export(
            self._issuer,
            self._incarnation,
            successor.incarnation,
            self._generation,
            partitions,
            self.pointers(now),
        )
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def cancel_export(self, refused_by: int | None) -> None:
        """Cancels an export, so that this table executes permits again.

        Args:
            refused_by: Incarnation that answered that it will never adopt the
                export, or None when certainly no byte of it was sent.

        Raises:
            errors.PeerError: The refusal came from another incarnation. A
                process that replaced the successor cannot know what the
                successor executed.
        """
        successor = self._successor
        if successor and refused_by not in (None, successor.incarnation):
            raise errors.PeerError("the refusal is from another incarnation")
        self._successor = None
        self._generation += 1

    def adopt(self, data: bytes, now: float) -> list[int]:
        """Takes over the permits of a stopping incarnation.

        Idempotent: adopting an export again only adds results.

        Args:
            data: Data that `export` returned.
            now: Monotonic time, seconds.

        Returns:
            The incarnations of the export, which this table now holds.

        Raises:
            errors.PeerError: The data is not an export, is addressed to
                another incarnation, was refused before or is too old, or this
                table was itself exported. The refusal is final.
        """
        export = _decode_export(data)
        if export.receiver != self._incarnation:
            raise errors.PeerError("the hand-over is for another incarnation")
        if export.incarnation in self._closed_incarnations:
            raise errors.PeerError("the hand-over was refused or is too old")
        if self._successor:
            return self._adopt_while_stopping(export)
        for partition in export.partitions:
            self._merge_partition(partition, now)
        for pointer in export.pointers:
            self.add_pointer(pointer, now)
        self.add_pointer(self._pointer_to_self(export), now)
        return [partition.incarnation for partition in export.partitions]

    def _adopt_while_stopping(self, export: _Export) -> list[int]:
        """Accepts a repeated hand-over and permanently refuses a new one."""
        if export.incarnation in self._partitions:
            return [partition.incarnation for partition in export.partitions]
        self._closed_incarnations.add(export.incarnation)
        raise errors.PeerError("the successor is also stopping")

    def pointers(self, now: float) -> list[Pointer]:
        """Returns the pointers to disseminate by gossip.

        Args:
            now: Monotonic time, seconds.

        Returns:
            The unexpired pointers, with the one of this process last.
        """
        self._drop_expired(now)
        pointers = [
            pointer._replace(remaining_ms=int((expires - now) * 1000))
            for pointer, expires in self._pointers.values()
        ]
        if self._successor:
            own = Pointer(
                self._incarnation,
                self._successor.name,
                self._successor.incarnation,
                self._generation,
                self._lifetime_ms + self._retention_ms,
            )
            pointers.append(own)
        return pointers

    def add_pointer(self, pointer: Pointer, now: float) -> bool:
        """Stores a pointer received from a peer.

        Args:
            pointer: The pointer.
            now: Monotonic time, seconds.

        Returns:
            Whether the pointer is new here and was stored.
        """
        if pointer.incarnation == self._incarnation:
            return False
        current = self._pointers.get(pointer.incarnation)
        if current and current[0].generation >= pointer.generation:
            return False
        remaining_ms = min(
            pointer.remaining_ms, self._lifetime_ms + self._retention_ms
        )
        self._pointers[pointer.incarnation] = (
            pointer,
            now + remaining_ms / 1000,
        )
        return True

    def _follow_pointers(self, start: Remote, now: float) -> Remote:
        """Follows the pointers from an incarnation to its last successor."""
        holder = start
        visited: set[int] = set()
        while holder.incarnation in self._pointers:
            pointer, expires = self._pointers[holder.incarnation]
            if expires < now or holder.incarnation in visited:
                break
            visited.add(holder.incarnation)
            holder = Remote(
                pointer.successor_name, pointer.successor_incarnation
            )
        if holder.incarnation == self._incarnation:
            raise errors.AttemptLostError("the hand-over has not arrived")
        if holder.name == self._issuer:
            raise errors.AttemptLostError("the issuer of the permit is gone")
        return holder

    def _claim_again(
        self, permit: Permit, record: _Record, digest: bytes
    ) -> Claim:
        if record.digest != digest:
            raise errors.IdempotencyError(
                "the permit was used for another call"
            )
        if record.state is _State.RUNNING:
            return Join(permit)
        return Recorded(record.result or _RESULT_LOST)

    def _claim_first(
        self, permit: Permit, partition: _Partition, digest: bytes, now: float
    ) -> Claim:
        overdue_ms = partition.elapsed_ms(now) - permit.expires_ms
        if overdue_ms >= self._retention_ms:
            raise errors.AttemptLostError("the permit expired long ago")
        if overdue_ms >= 0:
            raise errors.PermitError("the permit is expired")
        partition.records[permit.sequence] = _Record(
            digest, permit.expires_ms, _State.RUNNING
        )
        return Run(permit)

    def _end(
        self, incarnation: int, sequence: int, record: _Record, result: Result
    ) -> None:
        is_valid = invariants.check(
            record.state is not _State.ENDED,
            events.PERMIT_ENDED_TWICE,
            incarnation=incarnation,
            sequence=sequence,
        )
        if not is_valid:
            return
        record.state = _State.ENDED
        record.result = result
        self._result_sizes[incarnation, sequence] = len(result.body)
        self._result_bytes += len(result.body)
        self._drop_results()

    def _drop_results(self) -> None:
        """Drops the bodies of the oldest results that exceed the bound."""
        while self._result_bytes > self._result_bytes_max:
            (incarnation, sequence), size = next(
                iter(self._result_sizes.items())
            )
            del self._result_sizes[incarnation, sequence]
            self._result_bytes -= size
            record = self._partitions[incarnation].records[sequence]
            record.result = _without_body(record.result)

    def _drop_expired(self, now: float) -> None:
        """Drops records past their retention and expired pointers."""
        self._next_drop = now + _DROP_INTERVAL_S
        for incarnation, partition in self._partitions.items():
            limit_ms = partition.elapsed_ms(now) - self._retention_ms
            expired = [
                sequence
                for sequence, record in partition.records.items()
                if record.expires_ms <= limit_ms
                and record.state is not _State.RUNNING
            ]
            for sequence in expired:
                del partition.records[sequence]
                size = self._result_sizes.pop((incarnation, sequence), 0)
                self._result_bytes -= size
        self._close_expired(now)
        expired_pointers = [
            incarnation
            for incarnation, (_, expires) in self._pointers.items()
            if expires <= now
        ]
        for incarnation in expired_pointers:
            del self._pointers[incarnation]

    def _close_expired(self, now: float) -> None:
        """Drops adopted partitions whose permits are past their retention."""
        expired = [
            incarnation
            for incarnation, partition in self._partitions.items()
            if partition.expires is not None
            and partition.expires <= now
            and not partition.records
        ]
        for incarnation in expired:
            del self._partitions[incarnation]
            self._closed_incarnations.add(incarnation)

    def _merge_partition(self, data: _PartitionData, now: float) -> None:
        """Adds adopted records; records of this table keep their state."""
        if data.incarnation in self._closed_incarnations:
            return
        partition = self._partitions.get(data.incarnation)
        if partition is None:
            # Adds a millisecond so that rounding cannot make the incarnation
            # younger here than it was at its previous holder.
            started = now - (data.elapsed_ms + 1) / 1000
            partition = _Partition(started, now + data.remaining_ms / 1000)
            self._partitions[data.incarnation] = partition
        for sequence, digest, expires_ms, state, result in data.records:
            record = partition.records.get(sequence)
            if record is None:
                record = _Record(digest, expires_ms, _State.LOST)
                partition.records[sequence] = record
            if state == _State.ENDED and record.state is _State.LOST:
                self._end(
                    data.incarnation, sequence, record, result or _RESULT_LOST
                )

    def _pointer_to_self(self, export: _Export) -> Pointer:
        """Returns a pointer from the exporting incarnation to this process."""
        return Pointer(
            export.incarnation,
            self._issuer,
            self._incarnation,
            export.generation,
            self._lifetime_ms + self._retention_ms,
        )


def _encode_partition(
    incarnation: int,
    partition: _Partition,
    now: float,
    lifetime_ms: int,
    exported: set[tuple[int, int]],
) -> _PartitionData:
    records = [
        (
            sequence,
            record.digest,
            record.expires_ms,
            int(record.state),
            _encode_result(record.result, (incarnation, sequence) in exported),
        )
        for sequence, record in partition.records.items()
    ]
    remaining_ms = lifetime_ms
    if partition.expires is not None:
        remaining_ms = max(0, int((partition.expires - now) * 1000))
    return _PartitionData(
        incarnation, partition.elapsed_ms(now), remaining_ms, records
    )


def _results_to_export(
    partitions: dict[int, _Partition],
) -> set[tuple[int, int]]:
    """Returns the keys of the latest results whose bodies fit an export."""
    keys: set[tuple[int, int]] = set()
    free_bytes = EXPORT_RESULT_BYTES_MAX
    for incarnation, partition in partitions.items():
        for sequence, record in reversed(partition.records.items()):
            free_bytes -= len(record.result.body) if record.result else 0
            if free_bytes < 0:
                return keys
            keys.add((incarnation, sequence))
    return keys


def _encode_result(result: Result | None, with_body: bool) -> Result | None:
    """Returns the result to put into an export, or None if it is lost."""
    encoded = result if with_body else _without_body(result)
    return None if encoded == _RESULT_LOST else encoded


def _without_body(result: Result | None) -> Result:
    """Returns the result without its body; an answer counts as lost."""
    if result is None or result.outcome == errors.Outcome.ANSWERED:
        return _RESULT_LOST
    return result._replace(body=b"")


def _decode_export(data: bytes) -> _Export:
    try:
        return msgspec.convert(cbor2.loads(data), _Export)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
    ) as caught:
        raise errors.PeerError(f"not a hand-over: {caught}") from caught
