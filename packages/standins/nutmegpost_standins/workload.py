"""Generates the requests of a scenario: recurring chats, and single calls."""

from collections.abc import Callable

from nutmegpost_standins import enginemodel
from nutmegpost_standins import scenarios

__all__ = ["drive"]

CONTEXT_TOKENS_MAX = 32_000
# Probability that the chat drawn for a request ended and a new one starts.
CHAT_END_SHARE = 0.05


class _Chat:
    __slots__ = ("name", "tokens")

    def __init__(self, name: str, tokens: int):
        self.name = name
        self.tokens = tokens


class _Source:
    """Generates the requests of one flow, as a Poisson process."""

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
        self._sequence = 0
        self._prefix = f"{flow['work_class']}-{flow.get('start_s', 0.0):g}"
        self._accounts = _accounts(flow)
        self._mean_answer_tokens = flow.get("answer_tokens", 200.0)
        self._mean_question_tokens = flow.get("question_tokens", 100.0)
        self._mean_context_tokens = flow.get("context_tokens", 1000.0)
        self._swing = scenario.get("swing", 0.0)
        self._rate = self._mean_rate(scenario)
        self._chats = [self._new_chat() for _ in range(flow.get("chats", 0))]
        clock.call_at(flow.get("start_s", 0.0), self._send_next)

    def _mean_rate(self, scenario: scenarios.Scenario) -> float:
        slots = scenario["slots"]
        prompt_tokens = self._mean_question_tokens
        if not self._flow.get("chats"):
            prompt_tokens += self._mean_context_tokens
        steps_per_request = (
            self._mean_answer_tokens
            + prompt_tokens / enginemodel.PREFILL_TOKENS_PER_STEP
        )
        running = self._flow.get("running", 0.0)
        if running:
            steps_per_s = running / enginemodel.step_s(int(running), slots)
        else:
            steps_per_s = (
                slots / enginemodel.STEP_FULL_S * self._flow.get("load", 0.5)
            )
        return steps_per_s * scenario["engines"] / steps_per_request

    def _new_chat(self) -> _Chat:
        self._sequence += 1
        tokens = (
            int(self._clock.random.expovariate(1 / self._mean_context_tokens))
            + 1
        )
        return _Chat(f"{self._prefix}-{self._sequence}", tokens)

    def _send_next(self) -> None:
        now = self._clock.now
        if now >= self._flow.get("stop_s", 1e9):
            return
        # The load alternates between two levels every 20 s.
        is_high = int(now / 20) % 2 == 0
        factor = 1 + self._swing if is_high else 1 - self._swing
        interval_s = self._clock.random.expovariate(self._rate * factor)
        self._clock.call_at(now + interval_s, self._send_next)
        request = self._next_request()
        if request:
            self._arrive(request)

    def _next_request(self) -> enginemodel.Request | None:
        random = self._clock.random
        question_tokens = (
            int(random.expovariate(1 / self._mean_question_tokens)) + 1
        )
        answer_tokens = (
            int(random.expovariate(1 / self._mean_answer_tokens)) + 1
        )
        chat = self._new_chat()
        if self._chats:
            index = random.randrange(len(self._chats))
            if random.random() < CHAT_END_SHARE:
                self._chats[index] = chat
            chat = self._chats[index]
        if chat.tokens + question_tokens > CONTEXT_TOKENS_MAX:
            chat.tokens = question_tokens
            chat.name += "+"
        account = random.choice(self._accounts)
        prompt_tokens = chat.tokens + question_tokens
        chat.tokens = prompt_tokens + answer_tokens
        self._sequence += 1
        name = f"{self._prefix}/{self._sequence}"
        return self._new_request(
            name, account, chat.name, prompt_tokens, answer_tokens
        )

    def _new_request(
        self,
        name: str,
        account: str,
        chat: str,
        prompt_tokens: int,
        answer_tokens: int,
    ) -> enginemodel.Request:
        request = enginemodel.Request(
            name, account, chat, prompt_tokens, answer_tokens
        )
        request.work_class = self._flow["work_class"]
        request.rank = self._flow["rank"]
        request.first_token_s = self._flow["first_token_s"]
        request.finish_s = self._flow.get("finish_s")
        request.worth = self._flow.get("worth", 1.0)
        request.arrived_at = self._clock.now
        return request


def _accounts(flow: scenarios.Flow) -> list[str]:
    """Returns account names, repeated in proportion to their request rates."""
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
    """Schedules all requests of a scenario.

    Args:
        scenario: The scenario.
        clock: Simulated time and randomness.
        arrive: Called with each request when it arrives.
    """
    for flow in scenario["flows"]:
        _Source(flow, scenario, clock, arrive)
