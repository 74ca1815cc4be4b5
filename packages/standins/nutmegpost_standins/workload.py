"""Requests of a scenario: chats that return after pauses, and single calls."""

from collections.abc import Callable

from nutmegpost_standins import enginemodel
from nutmegpost_standins import scenarios

__all__ = ["drive"]

CONTEXT_TOKENS_MAX = 32_000
# Share of the requests of a chat after which it never returns.
CHAT_END_SHARE = 0.05


class _Chat:
    __slots__ = ("name", "tokens")

    def __init__(self, name: str, tokens: int):
        self.name = name
        self.tokens = tokens


class _Source:
    """Draws the requests of one flow."""

    def __init__(
        self,
        flow: scenarios.Flow,
        scenario: scenarios.Scenario,
        clock: enginemodel.Clock,
        arrive: Callable[[enginemodel.Request], None],
    ):
        self._flow = flow
        self._clock = clock
        self._arrive = arrive
        self._count = 0
        self._prefix = f"{flow['work_class']}-{flow.get('start_s', 0.0):g}"
        self._accounts = _accounts(flow)
        self._answer = flow.get("answer_tokens", 200.0)
        self._question = flow.get("question_tokens", 100.0)
        self._context = flow.get("context_tokens", 1000.0)
        self._swing = scenario.get("swing", 0.0)
        self._rate = self._mean_rate(scenario)
        self._chats = [self._fresh() for _ in range(flow.get("chats", 0))]
        clock.at(flow.get("start_s", 0.0), self._next)

    def _mean_rate(self, scenario: scenarios.Scenario) -> float:
        slots = scenario["slots"]
        prompt = self._question
        if not self._flow.get("chats"):
            prompt += self._context
        work = self._answer + prompt / enginemodel.PREFILL_TOKENS_PER_STEP
        running = self._flow.get("running", 0.0)
        if running:
            pace = running / enginemodel.step_s(int(running), slots)
        else:
            pace = slots / enginemodel.STEP_FULL_S * self._flow.get("load", 0.5)
        return pace * scenario["engines"] / work

    def _fresh(self) -> _Chat:
        self._count += 1
        tokens = int(self._clock.random.expovariate(1 / self._context)) + 1
        return _Chat(f"{self._prefix}-{self._count}", tokens)

    def _next(self) -> None:
        now = self._clock.now
        if now >= self._flow.get("stop_s", 1e9):
            return
        # The load steps between two levels every 20 s.
        up = int(now / 20) % 2 == 0
        factor = 1 + self._swing if up else 1 - self._swing
        gap = self._clock.random.expovariate(self._rate * factor)
        self._clock.at(now + gap, self._next)
        request = self._request()
        if request:
            self._arrive(request)

    def _request(self) -> enginemodel.Request | None:
        random = self._clock.random
        question = int(random.expovariate(1 / self._question)) + 1
        answer = int(random.expovariate(1 / self._answer)) + 1
        chat = self._fresh()
        if self._chats:
            index = random.randrange(len(self._chats))
            if random.random() < CHAT_END_SHARE:
                self._chats[index] = chat
            chat = self._chats[index]
        if chat.tokens + question > CONTEXT_TOKENS_MAX:
            chat.tokens = question
            chat.name += "+"
        account = random.choice(self._accounts)
        prompt = chat.tokens + question
        chat.tokens = prompt + answer
        self._count += 1
        name = f"{self._prefix}/{self._count}"
        return self._made(name, account, chat.name, prompt, answer)

    def _made(
        self, name: str, account: str, chat: str, prompt: int, answer: int
    ) -> enginemodel.Request:
        request = enginemodel.Request(name, account, chat, prompt, answer)
        request.work_class = self._flow["work_class"]
        request.rank = self._flow["rank"]
        request.first_token_s = self._flow["first_token_s"]
        request.finish_s = self._flow.get("finish_s")
        request.worth = self._flow.get("worth", 1.0)
        request.arrived = self._clock.now
        return request


def _accounts(flow: scenarios.Flow) -> list[str]:
    """Accounts in the shares in which they ask."""
    large = flow.get("large", 0)
    factor = int(flow.get("large_factor", 20))
    names = []
    for number in range(flow.get("accounts", 1)):
        name = f"account-{number}"
        names += [name] * (factor if number < large else 1)
    return names


def drive(
    scenario: scenarios.Scenario,
    clock: enginemodel.Clock,
    arrive: Callable[[enginemodel.Request], None],
) -> None:
    """Plans all requests of a scenario.

    Args:
        scenario: The scenario.
        clock: Time and randomness.
        arrive: Gets each request when it arrives.
    """
    for flow in scenario["flows"]:
        _Source(flow, scenario, clock, arrive)
