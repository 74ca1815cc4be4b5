"""A bounded load of returning chats, and the checks of what came back."""

import asyncio
from typing import Any

import harness

from nutmegpost_standins import batching
from nutmegpost_standins import caller

__all__ = ["Load", "check_answers"]

_PAUSE_S = 0.02


class Load:
    """Chats of several accounts that go on until they are told to stop."""

    def __init__(
        self,
        deployment: harness.Deployment,
        accounts: list[str],
        *,
        chats: int = 4,
        tokens: int = 40,
        releases: bool = True,
        turns_max: int = 200,
        **options: Any,
    ):
        self.results: list[caller.ChatResult] = []
        self.calls: list[caller.CallResult] = []
        self._deployment = deployment
        self._accounts = accounts
        self._chats = chats
        self._tokens = tokens
        self._releases = releases
        self._turns_max = turns_max
        self._options = options
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Load":
        for number, account in enumerate(self._accounts):
            program = self._deployment.caller(account, number, **self._options)
            for chat in range(self._chats):
                name = f"{account}-{chat}"
                work = self._run_chats(program, name)
                self._tasks.append(asyncio.create_task(work))
            if self._releases:
                work = self._run_calls(program, account)
                self._tasks.append(asyncio.create_task(work))
        return self

    async def __aexit__(self, *_: Any) -> None:
        self._is_stopping = True
        async with asyncio.timeout(90.0):
            await asyncio.gather(*self._tasks)

    async def until_answered(self, count: int) -> None:
        """Waits until so many further chat requests have ended."""
        wanted = len(self.results) + count
        await harness.until(
            lambda: len(self.results) >= wanted or self._is_over(),
            f"{count} further answers",
        )

    def _is_over(self) -> bool:
        return all(task.done() for task in self._tasks)

    async def _run_chats(self, program: caller.Caller, name: str) -> None:
        messages: list[dict[str, str]] = []
        for turn in range(self._turns_max):
            if self._is_stopping:
                return
            if turn % 8 == 0:
                messages = []
            text = " ".join(f"{name}-{turn}-{word}" for word in range(40))
            messages.append({"role": "user", "content": text})
            result = await program.chat(
                self._deployment.model,
                messages,
                chat_id=f"{name}-{turn // 8}",
                tokens=self._tokens,
            )
            self.results.append(result)
            answer = batching.messages_digest(messages)
            messages.append({"role": "assistant", "content": answer})
            await asyncio.sleep(_PAUSE_S)

    async def _run_calls(self, program: caller.Caller, name: str) -> None:
        deployment = self._deployment
        for number in range(self._turns_max):
            if self._is_stopping:
                return
            body = {"call": f"{name}-{number}"}
            result = await program.call(
                deployment.service, deployment.operation, body
            )
            self.calls.append(result)
            await asyncio.sleep(_PAUSE_S * 5)


def check_answers(results: list[caller.ChatResult]) -> None:
    """Asserts that every chat request got its whole answer."""
    assert results
    bad = [
        item for item in results if item.outcome != "answered" or item.mismatch
    ]
    assert not bad, "\n".join(str(item) for item in bad)
