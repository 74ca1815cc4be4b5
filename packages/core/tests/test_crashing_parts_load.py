"""Series of requests with a crashing part among sound ones, at four routers.

Each crash loses the sound requests in flight too. What a router learns reaches
the others late, some of it only when they compare their charges, and one router
starts anew in the middle.
"""

import random

import pytest

from nutmegpost_core import crashing_parts

ROUTERS = 4
# Spread of news, its loss, and the interval at which charges are compared.
DELAY_S = 0.05
LOSS = 0.2
SYNC_S = 0.5
SECONDS = 60
STEP_S = 0.02
# Bounds of the requirements: spread, crashes before it, requests after it.
CONTACT_S = 3.0
CRASHES_MAX = 5
LATE_MAX = 3
SERVED_MIN = 0.95
FIRST_PARTS = [f"first-{number}" for number in range(40)]
CHAT_PARTS = [f"chat-{number}" for number in range(65)]
REFUSE = crashing_parts.Verdict.REFUSE


class _Fleet:
    """Routers that refuse requests, and the news between them."""

    def __init__(self, rng, bad_part, companions):
        self._rng = rng
        self._bad_part = bad_part
        self._companions = companions
        self._routers = [crashing_parts.PartBreaker() for _ in range(ROUTERS)]
        self._news = []
        # Sound requests in flight: router, parts and time of the answer.
        self._open = []
        self.crashes = []
        # Time, parts and outcome of each sound request.
        self.sound = []

    def run(self):
        next_sync = 0.0
        for step in range(int(SECONDS / STEP_S)):
            now = step * STEP_S
            self._deliver(now)
            self._answer(now)
            if now >= next_sync:
                next_sync = now + SYNC_S / ROUTERS
                self._sync(now)
            if self._rng.random() < 30 * STEP_S:
                self._send_sound(now)
            if now > 5.0 and self._rng.random() < 2 * STEP_S:
                self._send_bad(now)
            if step == int(20.0 / STEP_S):
                self._routers[0] = crashing_parts.PartBreaker()

    def _tell(self, source, now, deliver):
        for router in self._routers:
            if router is not source and self._rng.random() >= LOSS:
                self._news.append((now + DELAY_S, router, deliver))

    def _deliver(self, now):
        due = [news for news in self._news if news[0] <= now]
        self._news = [news for news in self._news if news[0] > now]
        for _, router, deliver in due:
            deliver(router)

    def _sync(self, now):
        router, peer = self._rng.sample(self._routers, 2)
        router.merge(peer.charges.charges(now))

    def _admit(self, parts, now):
        router = self._rng.choice(self._routers)
        verdict = router.verdict(parts, now)
        if verdict is REFUSE:
            return None
        if verdict is crashing_parts.Verdict.TRY:
            for part in router.record_trial(parts, now):
                self._tell(
                    router,
                    now,
                    lambda peer, part=part: peer.record_peer_trial(part, now),
                )
        return router

    def _send_sound(self, now):
        parts = (self._rng.choice(FIRST_PARTS), self._rng.choice(CHAT_PARTS))
        if self._rng.random() < 0.2:
            parts = (self._companions[0], parts[1])
        router = self._admit(parts, now)
        self.sound.append((now, parts, router is not None))
        if router is not None:
            self._open.append((router, parts, now + self._rng.uniform(0.2, 3)))

    def _answer(self, now):
        answered = [entry for entry in self._open if entry[2] <= now]
        self._open = [entry for entry in self._open if entry[2] > now]
        for router, parts, _ in answered:
            cleared = router.record_answer(parts)
            if cleared:
                self._tell(
                    router,
                    now,
                    lambda peer, cleared=cleared: peer.merge(cleared),
                )

    def _send_bad(self, now):
        parts = (*self._companions, self._bad_part)
        router = self._admit(parts, now)
        if router is None:
            return
        crash = f"crash-{len(self.crashes)}"
        self.crashes.append(now)
        # A fifth of the open requests runs on the endpoint that ends.
        lost = [entry for entry in self._open if self._rng.random() < 0.2]
        self._open = [entry for entry in self._open if entry not in lost]
        for source, lost_parts, _ in [*lost, (router, parts, now)]:
            charges = [
                crashing_parts.crashes.Charge(part, crash, now, False)
                for part in lost_parts
            ]
            source.merge(charges)
            self._tell(
                source, now, lambda peer, charges=charges: peer.merge(charges)
            )


def _served(sound, start, end, part):
    outcomes = [
        served
        for at, parts, served in sound
        if start <= at < end and part in parts
    ]
    return sum(outcomes) / len(outcomes)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(
    "companions", [("first-0",), ("first-0", "chat-0")], ids=["one", "two"]
)
def test_crashing_part_stops_and_sound_requests_are_served(seed, companions):
    fleet = _Fleet(random.Random(seed), "bad", companions)
    fleet.run()
    fifth = (
        fleet.crashes[CRASHES_MAX - 1]
        if len(fleet.crashes) >= CRASHES_MAX
        else fleet.crashes[-1]
    )
    late = [at for at in fleet.crashes if at > fifth + CONTACT_S]
    assert len(late) <= LATE_MAX
    # From then on the requirements ask for half of what was served before.
    start = fifth + 2 * CONTACT_S
    assert _served(fleet.sound, start, SECONDS, companions[0]) >= SERVED_MIN
    assert sum(served for _, _, served in fleet.sound) >= 0.98 * len(
        fleet.sound
    )
