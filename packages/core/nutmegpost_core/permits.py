"""Permits: the right to run a call that may not be repeated, at most once.

A permit names the incarnation of the router that issued it. Only the table
that holds that incarnation may run the permit or say that it did not run. A
table marks a permit as used before the first byte goes to an endpoint, and it
refuses for good every permit for which it answered "not run". Every other
router only forwards; without the holder's word the outcome is unknown.

At a planned stop a table is handed to one incarnation of one successor. A
table that was exported runs nothing more, whether or not the message arrives.
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
    "Elsewhere",
    "Here",
    "Join",
    "Permit",
    "Pointer",
    "Recorded",
    "Result",
    "Run",
    "Table",
    "call_digest",
    "read",
    "write",
]

LIFETIME_S = 600.0
RETENTION_S = 600.0
RESULT_BYTES_MAX = 16_000_000
# A hand-over must fit into one message between routers.
EXPORT_RESULT_BYTES_MAX = 1_000_000
_DROP_INTERVAL_S = 1.0
_DIGEST_BYTES = 16
_MAC_BYTES = 32
_TEXT_LENGTH_MAX = 512
_MAC_CONTEXT = b"nutmegpost permit\0"


class Permit(NamedTuple):
    """The right to run one call at most once.

    Attributes:
        issuer: Name of the router that issued it.
        incarnation: Incarnation of that router.
        sequence: Number of the permit within the incarnation.
        expires_ms: End of its life, milliseconds since the incarnation began.
        account: Account that may use it.
    """

    issuer: str
    incarnation: int
    sequence: int
    expires_ms: int
    account: str


class Result(NamedTuple):
    """What became of the call of a permit.

    Attributes:
        outcome: Whether the call ran.
        status: HTTP status.
        code: Code of the error; empty when answered.
        body: The answer, or the text of the error.
    """

    outcome: str
    status: int
    code: str
    body: bytes


class Run(NamedTuple):
    """The caller must run the call now; the permit is marked as used."""

    permit: Permit


class Join(NamedTuple):
    """The call is running; the caller waits for its result."""

    permit: Permit


class Recorded(NamedTuple):
    """The call has ended."""

    result: Result


Claim = Run | Join | Recorded


class Here(NamedTuple):
    """This router decides about the permit."""


class Elsewhere(NamedTuple):
    """Another router decides about the permit.

    Attributes:
        name: Name of the router.
        incarnation: Incarnation that holds the permit.
    """

    name: str
    incarnation: int


class Pointer(NamedTuple):
    """Tells who holds everything that a stopped incarnation held.

    Attributes:
        incarnation: The stopped incarnation.
        name: Name of its successor.
        successor: Incarnation of its successor.
        generation: Grows when the stopped incarnation chooses again.
        remaining_ms: Milliseconds for which the pointer is of use.
    """

    incarnation: int
    name: str
    successor: int
    generation: int
    remaining_ms: int


def write(permit: Permit, key: bytes) -> str:
    """Returns the text form of a permit.

    Args:
        permit: The permit.
        key: The peer key.
    """
    data = cbor2.dumps(list(permit))
    return base64.urlsafe_b64encode(data + _mac(data, key)).decode()


def read(text: str, key: bytes) -> Permit:
    """Reads the text form of a permit.

    Args:
        text: The text form.
        key: The peer key.

    Returns:
        The permit.

    Raises:
        errors.PermitError: The text is not a permit under this key.
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
    if write(permit, key) != text:
        raise errors.PermitError("the permit is not in its canonical form")
    return permit


def call_digest(service: str, operation: str, body: bytes) -> bytes:
    """Returns the digest that tells the calls of a permit apart."""
    found = hashlib.sha256()
    for part in (service.encode(), operation.encode(), body):
        found.update(len(part).to_bytes(8, "big"))
        found.update(part)
    return found.digest()[:_DIGEST_BYTES]


def _mac(data: bytes, key: bytes) -> bytes:
    return hmac.digest(key, _MAC_CONTEXT + data, "sha256")


class _State(enum.IntEnum):
    RUNNING = 0
    LOST = 1
    ENDED = 2


class _Record:
    """One used permit."""

    def __init__(self, digest: bytes, expires_ms: int, state: _State):
        self.digest = digest
        self.expires_ms = expires_ms
        self.state = state
        self.sent = False
        self.result: Result | None = None


class _Book:
    """The used permits of one incarnation."""

    def __init__(self, began: float, until: float | None = None):
        self.began = began
        self.until = until
        self.records: dict[int, _Record] = {}

    def elapsed_ms(self, now: float) -> int:
        return int((now - self.began) * 1000)


class _BookData(NamedTuple):
    """Encoded form of a book: times are relative, so clocks may differ."""

    incarnation: int
    elapsed_ms: int
    remaining_ms: int
    records: list[tuple[int, bytes, int, int, Result | None]]


class _Export(NamedTuple):
    """Encoded form of a hand-over."""

    name: str
    incarnation: int
    receiver: int
    generation: int
    books: list[_BookData]
    pointers: list[Pointer]


_RESULT_LOST = Result(
    errors.Outcome.UNKNOWN.value,
    errors.AttemptLostError.status,
    errors.AttemptLostError.code,
    b"the call may have run, but its answer is lost",
)


class Table:
    """The permits that one incarnation of a router decides about."""

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
            incarnation: Random number drawn at the start of this process.
            key: The peer key.
            now: Monotonic time, seconds.
            lifetime_s: Seconds for which a new permit may be used.
            retention_s: Seconds for which a use is remembered after that.
            result_bytes_max: Bytes of results that are kept.
        """
        self._issuer = issuer
        self._incarnation = incarnation
        self._key = key
        self._lifetime_ms = int(lifetime_s * 1000)
        self._retention_ms = int(retention_s * 1000)
        self._result_bytes_max = result_bytes_max
        self._result_bytes = 0
        self._kept: dict[tuple[int, int], int] = {}
        self._sequence = 0
        self._books = {incarnation: _Book(now)}
        self._pointers: dict[int, tuple[Pointer, float]] = {}
        self._successor: Elsewhere | None = None
        self._generation = 0
        self._closed: set[int] = set()
        self._drop_at = now

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def key(self) -> bytes:
        """The peer key."""
        return self._key

    @property
    def successor(self) -> Elsewhere | None:
        """Who holds the permits since the export; None before it."""
        return self._successor

    @property
    def running(self) -> int:
        """Calls that were claimed here and have not ended."""
        return sum(
            record.state is _State.RUNNING
            for book in self._books.values()
            for record in book.records.values()
        )

    def issue(self, account: str, now: float) -> str:
        """Issues a permit.

        Args:
            account: Account that may use it.
            now: Monotonic time, seconds.

        Returns:
            Its text form.

        Raises:
            errors.StoppingError: The table was exported.
        """
        if self._successor:
            raise errors.StoppingError("the router is stopping")
        self._sequence += 1
        elapsed_ms = self._books[self._incarnation].elapsed_ms(now)
        permit = Permit(
            self._issuer,
            self._incarnation,
            self._sequence,
            elapsed_ms + self._lifetime_ms,
            account,
        )
        return write(permit, self._key)

    def route(self, permit: Permit, now: float) -> Here | Elsewhere:
        """Finds who decides about a permit.

        Args:
            permit: The permit.
            now: Monotonic time, seconds.

        Returns:
            Here, or the router that holds the permit as far as is known.

        Raises:
            errors.AttemptLostError: The permit was handed to this router, but
                the hand-over has not arrived, or its last known holder is
                gone; it may have run before.
        """
        book = self._books.get(permit.incarnation)
        if book and (not self._successor or permit.sequence in book.records):
            return Here()
        if book and self._successor:
            return self._follow(self._successor, now)
        return self._follow(Elsewhere(permit.issuer, permit.incarnation), now)

    def claim(
        self, permit: Permit, account: str, digest: bytes, now: float
    ) -> Claim:
        """Claims a permit for a call.

        Args:
            permit: An authentic permit that `route` found to be here.
            account: Account of the caller.
            digest: Digest of the call, by `call_digest`.
            now: Monotonic time, seconds.

        Returns:
            What the caller must do. After `Run` it calls `record` or
            `refuse` exactly once.

        Raises:
            errors.PermitError: The permit is of another account, or it is
                expired and was not used; the call did not run and never will.
            errors.IdempotencyError: The permit was used for another call.
            errors.AttemptLostError: Nothing is known of the permit any more,
                or it is not held here; the call may have run.
        """
        if permit.account != account:
            raise errors.PermitError("the permit is of another account")
        if now >= self._drop_at:
            self._drop_old(now)
        book = self._books.get(permit.incarnation)
        if book is None:
            raise errors.AttemptLostError("the permit is not held here")
        record = book.records.get(permit.sequence)
        if record is not None:
            return self._claim_again(permit, record, digest)
        if self._successor:
            raise errors.AttemptLostError("the permit was handed over")
        return self._claim_first(permit, book, digest, now)

    def sending(self, permit: Permit) -> None:
        """Notes that the next byte of the call goes to an endpoint."""
        record = self._books[permit.incarnation].records[permit.sequence]
        invariants.check(
            record.state is _State.RUNNING and not record.sent,
            events.PERMIT_SENT_TWICE,
            incarnation=permit.incarnation,
            sequence=permit.sequence,
        )
        record.sent = True

    def unsent(self, permit: Permit) -> None:
        """Notes that the endpoint surely did not run the call."""
        self._books[permit.incarnation].records[permit.sequence].sent = False

    def refuse(self, permit: Permit, result: Result) -> None:
        """Ends a run that sent nothing; the permit is spent for good.

        Args:
            permit: The permit.
            result: The answer, with the outcome "not run".
        """
        record = self._books[permit.incarnation].records[permit.sequence]
        invariants.check(
            not record.sent,
            events.PERMIT_REFUSED_AFTER_SENDING,
            incarnation=permit.incarnation,
            sequence=permit.sequence,
        )
        self._end(permit.incarnation, permit.sequence, record, result)

    def record(self, permit: Permit, result: Result) -> None:
        """Ends a run with its answer, or with an unknown outcome.

        Args:
            permit: The permit.
            result: The answer.
        """
        record = self._books[permit.incarnation].records[permit.sequence]
        self._end(permit.incarnation, permit.sequence, record, result)

    def export(self, successor: Elsewhere, now: float) -> bytes:
        """Gives everything that is held to a successor.

        From now on no permit that is unused runs here. Calls that are running
        go on; the successor knows them as used with an unknown outcome until
        a later export to the same successor brings the result.

        Args:
            successor: The one incarnation that may adopt the data.
            now: Monotonic time, seconds.

        Returns:
            Data for `adopt`.

        Raises:
            errors.PeerError: The table was exported to another successor.
        """
        if self._successor not in (None, successor):
            raise errors.PeerError("the permits have another successor")
        if successor.incarnation == self._incarnation:
            raise errors.PeerError("a router does not succeed itself")
        self._successor = successor
        self._drop_old(now)
        life_ms = self._lifetime_ms + self._retention_ms
        keep = _results_to_keep(self._books)
        books = [
            _encode_book(incarnation, book, now, life_ms, keep)
            for incarnation, book in self._books.items()
        ]
        message = _Export(
            self._issuer,
            self._incarnation,
            successor.incarnation,
            self._generation,
            books,
            self.pointers(now),
        )
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def reopen(self, refused_by: int | None) -> None:
        """Takes an export back.

        Args:
            refused_by: Incarnation that answered that it never adopts the
                export, or None when surely no byte of it was sent.

        Raises:
            errors.PeerError: The refusal is not of the successor itself. A
                process that took its place cannot know what the successor
                ran.
        """
        successor = self._successor
        if successor and refused_by not in (None, successor.incarnation):
            raise errors.PeerError("the refusal is of another incarnation")
        self._successor = None
        self._generation += 1

    def adopt(self, data: bytes, now: float) -> list[int]:
        """Takes over the permits of a stopped incarnation.

        Adopting the same data again changes nothing but adds results.

        Args:
            data: Data of `export`.
            now: Monotonic time, seconds.

        Returns:
            The incarnations that are held here from now on.

        Raises:
            errors.PeerError: The data is not an export, or it is addressed to
                another incarnation, or this table was itself exported. It is
                not adopted now and never will be.
        """
        export = _decode_export(data)
        if export.receiver != self._incarnation:
            raise errors.PeerError("the hand-over is for another incarnation")
        if export.incarnation in self._closed:
            raise errors.PeerError("the hand-over was refused or is too old")
        if self._successor:
            return self._adopt_while_stopping(export)
        for item in export.books:
            self._merge(item, now)
        for pointer in export.pointers:
            self.learn(pointer, now)
        self.learn(self._pointer_here(export), now)
        return [item.incarnation for item in export.books]

    def _adopt_while_stopping(self, export: _Export) -> list[int]:
        """Answers a repeat, and refuses a first hand-over for good."""
        if export.incarnation in self._books:
            return [item.incarnation for item in export.books]
        self._closed.add(export.incarnation)
        raise errors.PeerError("the successor is itself stopping")

    def pointers(self, now: float) -> list[Pointer]:
        """Returns the pointers to gossip.

        Args:
            now: Monotonic time, seconds.
        """
        self._drop_old(now)
        found = [
            pointer._replace(remaining_ms=int((until - now) * 1000))
            for pointer, until in self._pointers.values()
        ]
        if self._successor:
            own = Pointer(
                self._incarnation,
                self._successor.name,
                self._successor.incarnation,
                self._generation,
                self._lifetime_ms + self._retention_ms,
            )
            found.append(own)
        return found

    def learn(self, pointer: Pointer, now: float) -> bool:
        """Takes a pointer from a peer.

        Args:
            pointer: The pointer.
            now: Monotonic time, seconds.

        Returns:
            Whether it is news.
        """
        if pointer.incarnation == self._incarnation:
            return False
        known = self._pointers.get(pointer.incarnation)
        if known and known[0].generation >= pointer.generation:
            return False
        life_ms = min(
            pointer.remaining_ms, self._lifetime_ms + self._retention_ms
        )
        self._pointers[pointer.incarnation] = (pointer, now + life_ms / 1000)
        return True

    def _follow(self, start: Elsewhere, now: float) -> Elsewhere:
        """Follows the pointers from an incarnation to its last successor."""
        found = start
        seen: set[int] = set()
        while found.incarnation in self._pointers:
            pointer, until = self._pointers[found.incarnation]
            if until < now or found.incarnation in seen:
                break
            seen.add(found.incarnation)
            found = Elsewhere(pointer.name, pointer.successor)
        if found.incarnation == self._incarnation:
            raise errors.AttemptLostError("the hand-over has not arrived")
        if found.name == self._issuer:
            raise errors.AttemptLostError("the issuer of the permit is gone")
        return found

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
        self, permit: Permit, book: _Book, digest: bytes, now: float
    ) -> Claim:
        late_ms = book.elapsed_ms(now) - permit.expires_ms
        if late_ms >= self._retention_ms:
            raise errors.AttemptLostError("the permit expired long ago")
        if late_ms >= 0:
            raise errors.PermitError("the permit is expired")
        book.records[permit.sequence] = _Record(
            digest, permit.expires_ms, _State.RUNNING
        )
        return Run(permit)

    def _end(
        self, incarnation: int, sequence: int, record: _Record, result: Result
    ) -> None:
        held = invariants.check(
            record.state is not _State.ENDED,
            events.PERMIT_ENDED_TWICE,
            incarnation=incarnation,
            sequence=sequence,
        )
        if not held:
            return
        record.state = _State.ENDED
        record.result = result
        self._kept[incarnation, sequence] = len(result.body)
        self._result_bytes += len(result.body)
        self._drop_results()

    def _drop_results(self) -> None:
        while self._result_bytes > self._result_bytes_max:
            (incarnation, sequence), size = next(iter(self._kept.items()))
            del self._kept[incarnation, sequence]
            self._result_bytes -= size
            record = self._books[incarnation].records[sequence]
            record.result = _without_answer(record.result)

    def _drop_old(self, now: float) -> None:
        """Forgets uses that no permit can ask for, and old pointers."""
        self._drop_at = now + _DROP_INTERVAL_S
        for incarnation, book in self._books.items():
            limit_ms = book.elapsed_ms(now) - self._retention_ms
            old = [
                sequence
                for sequence, record in book.records.items()
                if record.expires_ms <= limit_ms
                and record.state is not _State.RUNNING
            ]
            for sequence in old:
                del book.records[sequence]
                size = self._kept.pop((incarnation, sequence), 0)
                self._result_bytes -= size
        self._close_old(now)
        old_pointers = [
            incarnation
            for incarnation, (_, until) in self._pointers.items()
            if until <= now
        ]
        for incarnation in old_pointers:
            del self._pointers[incarnation]

    def _close_old(self, now: float) -> None:
        """Drops adopted books of which every permit is long expired."""
        old = [
            incarnation
            for incarnation, book in self._books.items()
            if book.until is not None and book.until <= now and not book.records
        ]
        for incarnation in old:
            del self._books[incarnation]
            self._closed.add(incarnation)

    def _merge(self, data: _BookData, now: float) -> None:
        if data.incarnation in self._closed:
            return
        book = self._books.get(data.incarnation)
        if book is None:
            # One more millisecond, so that rounding never makes the
            # incarnation younger here than it was at its last holder.
            began = now - (data.elapsed_ms + 1) / 1000
            book = _Book(began, now + data.remaining_ms / 1000)
            self._books[data.incarnation] = book
        for sequence, digest, expires_ms, state, result in data.records:
            record = book.records.get(sequence)
            if record is None:
                record = _Record(digest, expires_ms, _State.LOST)
                book.records[sequence] = record
            if state == _State.ENDED and record.state is _State.LOST:
                self._end(
                    data.incarnation, sequence, record, result or _RESULT_LOST
                )

    def _pointer_here(self, export: _Export) -> Pointer:
        return Pointer(
            export.incarnation,
            self._issuer,
            self._incarnation,
            export.generation,
            self._lifetime_ms + self._retention_ms,
        )


def _encode_book(
    incarnation: int,
    book: _Book,
    now: float,
    life_ms: int,
    keep: set[tuple[int, int]],
) -> _BookData:
    records = [
        (
            sequence,
            record.digest,
            record.expires_ms,
            int(record.state),
            _encode_result(record.result, (incarnation, sequence) in keep),
        )
        for sequence, record in book.records.items()
    ]
    remaining_ms = life_ms
    if book.until is not None:
        remaining_ms = max(0, int((book.until - now) * 1000))
    return _BookData(incarnation, book.elapsed_ms(now), remaining_ms, records)


def _results_to_keep(books: dict[int, _Book]) -> set[tuple[int, int]]:
    """Returns the latest results whose bodies fit into a hand-over."""
    keep: set[tuple[int, int]] = set()
    left = EXPORT_RESULT_BYTES_MAX
    for incarnation, book in books.items():
        for sequence, record in reversed(book.records.items()):
            left -= len(record.result.body) if record.result else 0
            if left < 0:
                return keep
            keep.add((incarnation, sequence))
    return keep


def _encode_result(result: Result | None, is_whole: bool) -> Result | None:
    """Returns what of a result goes into a hand-over; None when it is lost."""
    found = result if is_whole else _without_answer(result)
    return None if found == _RESULT_LOST else found


def _without_answer(result: Result | None) -> Result:
    """Returns what remains of a result whose body is not kept."""
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
